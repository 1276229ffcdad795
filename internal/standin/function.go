package standin

import (
	"strings"
	"time"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// aggregates are the supported aggregate functions.
var aggregates = map[string]bool{"count": true, "sum": true, "min": true, "max": true}

// callFunction evaluates a function call.
func (s *scope) callFunction(f *pg.FuncCall) (Value, error) {
	name := lastName(f.Funcname)
	if aggregates[name] {
		return s.evalAggregate(name, f)
	}
	args := make([]Value, len(f.Args))
	for i, a := range f.Args {
		v, err := s.eval(a)
		if err != nil {
			return nil, err
		}
		args[i] = v
	}
	switch name {
	case "now", "transaction_timestamp", "statement_timestamp":
		return s.exec.tx.now, nil
	case "clock_timestamp":
		return time.Now().UTC().Truncate(time.Microsecond), nil
	case "version":
		return "PostgreSQL 16.0 (fireflyrudder stand-in)", nil
	case "pg_is_in_recovery":
		return s.exec.session.server.Status().Role != RolePrimary, nil
	case "pg_backend_pid":
		return int64(s.exec.session.pid), nil
	case "current_database":
		return s.exec.session.database, nil
	}
	return s.callWithArguments(name, args)
}

func (s *scope) callWithArguments(name string, args []Value) (Value, error) {
	if len(args) == 0 {
		return nil, sqlErrorf(stateNoFunction, "function %s() does not exist", name)
	}
	switch name {
	case "pg_sleep":
		return "", s.exec.sleep(args[0])
	case "current_setting":
		return s.exec.session.showSetting(text(args[0]))
	case "set_config":
		if len(args) == 3 {
			return text(args[1]), s.exec.session.setSetting(text(args[0]), text(args[1]))
		}
	case "lower":
		return strings.ToLower(text(args[0])), nil
	case "upper":
		return strings.ToUpper(text(args[0])), nil
	case "length":
		return int64(len([]rune(text(args[0])))), nil
	case "abs":
		n, err := toInteger(args[0])
		if v, ok := n.(int64); ok && v < 0 {
			return -v, err
		}
		return n, err
	case "group_terminate":
		return int64(s.exec.session.server.terminate(s.exec.session, text(args[0]))), nil
	case "standin_hook":
		if len(args) == 2 {
			return "", s.exec.session.server.setHook(text(args[0]), text(args[1]))
		}
	}
	return nil, sqlErrorf(stateNoFunction, "function %s does not exist", name)
}

func (e *execution) sleep(v Value) error {
	seconds, err := toFloat(v)
	if err != nil || seconds == nil {
		return err
	}
	timer := time.NewTimer(time.Duration(seconds.(float64) * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-e.ctx.Done():
		return errCanceled(e.ctx)
	case <-timer.C:
		return nil
	}
}

// evalAggregate evaluates an aggregate function over the rows of the current group.
func (s *scope) evalAggregate(name string, f *pg.FuncCall) (Value, error) {
	if s.group == nil {
		return nil, sqlErrorf(stateSyntax, "aggregate functions are not allowed here")
	}
	if f.AggStar {
		return int64(len(s.group)), nil
	}
	var total Value
	count := int64(0)
	seen := map[Value]bool{}
	for _, r := range s.group {
		inner := scope{exec: s.exec, table: s.table, alias: s.alias, values: r.values}
		v, err := inner.eval(f.Args[0])
		if err != nil {
			return nil, err
		}
		if v == nil || (f.AggDistinct && seen[v]) {
			continue
		}
		if f.AggDistinct {
			seen[v] = true
		}
		count++
		if total, err = accumulate(name, total, v); err != nil {
			return nil, err
		}
	}
	if name == "count" {
		return count, nil
	}
	return total, nil
}

func accumulate(name string, total, v Value) (Value, error) {
	if total == nil || name == "count" {
		return v, nil
	}
	if name == "sum" {
		return arithmetic("+", total, v)
	}
	c, err := compare(v, total)
	if err != nil {
		return nil, err
	}
	if (name == "min") == (c < 0) {
		return v, nil
	}
	return total, nil
}
