package standin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// lockWait bounds the wait for another writer's transaction.
const lockWait = 5 * time.Second

// changeKind tells what a rowChange does.
type changeKind uint8

// Kinds of changes.
const (
	changeCreate changeKind = iota + 1
	changeDrop
	changePut
	changeRemove
)

// rowChange is one effect of a committed transaction.
type rowChange struct {
	Kind   changeKind
	Table  string
	SQL    string // definition, for changeCreate
	Row    int64
	Values []Value
}

// logRecord is a committed transaction in the log.
type logRecord struct {
	Term    position.Term
	Offset  position.Offset
	Time    time.Time // of the commit at the primary
	Changes []rowChange
}

// transaction holds the uncommitted changes of one session. It belongs to the goroutine of its
// connection. It sees the committed state, per statement, with its own changes on top.
type transaction struct {
	server   *Server
	explicit bool // BEGIN was sent
	readOnly bool
	failed   bool          // only ROLLBACK or COMMIT is accepted
	lock     chan struct{} // the writers' lock of the term, while it is held
	fenced   <-chan struct{}
	term     position.Term
	changes  []rowChange
	tables   map[string]*overlay
	now      time.Time
}

// overlay holds the uncommitted changes of one table.
type overlay struct {
	base    *table
	dropped bool
	rows    map[int64][]Value // nil means deleted
	added   []int64
	index   []map[string]int64 // 0 means free again
	next    int64
}

// write makes the transaction the writer of the instance. It waits at most lockWait for the lock.
func (x *transaction) write(ctx context.Context) error {
	if err := x.alive(); err != nil {
		return err
	}
	if x.readOnly {
		return fault(stateReadOnly, "cannot execute this statement in a read-only transaction")
	}
	if x.lock != nil {
		return nil
	}
	lead, err := x.server.leadership()
	if err != nil {
		return err
	}
	timer := time.NewTimer(lockWait)
	defer timer.Stop()
	select {
	case lead.lock <- struct{}{}:
	case <-lead.over:
		return errFenced()
	case <-ctx.Done():
		return canceled(ctx)
	case <-timer.C:
		return fault(stateLockTimeout, "another transaction kept its lock for %v", lockWait)
	}
	x.lock, x.fenced, x.term = lead.lock, lead.over, lead.term
	return x.alive()
}

// alive returns an error after the instance was fenced below an open writer.
func (x *transaction) alive() error {
	select {
	case <-x.fenced:
		return errFenced()
	default:
		return nil
	}
}

// end releases the lock and forgets the changes.
func (x *transaction) end() {
	if x.lock != nil {
		<-x.lock
	}
	x.lock, x.fenced, x.changes, x.tables = nil, nil, nil, nil
}

// commit appends the changes to the log. It returns the position, or the zero position if nothing
// was written.
func (x *transaction) commit() (position.Position, error) {
	defer x.end()
	if err := x.alive(); err != nil {
		return position.Position{}, err
	}
	if len(x.changes) == 0 {
		return position.Position{}, nil
	}
	return x.server.commit(x.term, x.changes)
}

// open returns the table as this transaction sees it. The caller holds Server.mu.
func (x *transaction) open(name string) (*overlay, error) {
	if o, ok := x.tables[name]; ok {
		if o.dropped {
			return nil, noTable(name)
		}
		return o, nil
	}
	t, ok := x.server.tables[name]
	if !ok {
		return nil, noTable(name)
	}
	return &overlay{base: t, next: t.next}, nil
}

// modify returns the overlay of a table for changes. The caller holds Server.mu.
func (x *transaction) modify(name string) (*overlay, error) {
	o, err := x.open(name)
	if err != nil {
		return nil, err
	}
	if o.rows == nil {
		o.rows = map[int64][]Value{}
		for range o.base.keys {
			o.index = append(o.index, map[string]int64{})
		}
	}
	if x.tables == nil {
		x.tables = map[string]*overlay{}
	}
	x.tables[name] = o
	return o, nil
}

// scan returns the visible rows in order of insertion.
func (o *overlay) scan() []row {
	rows := make([]row, 0, len(o.base.rows)+len(o.added))
	for _, id := range o.base.order {
		values, changed := o.rows[id]
		if !changed {
			values = o.base.rows[id]
		}
		if values != nil {
			rows = append(rows, row{id, values})
		}
	}
	for _, id := range o.added {
		if values := o.rows[id]; values != nil {
			rows = append(rows, row{id, values})
		}
	}
	return rows
}

// lookup returns the visible row with the given text of unique key k.
func (o *overlay) lookup(k int, key string) (row, bool) {
	if o.index != nil {
		if id, ok := o.index[k][key]; ok {
			return row{id, o.rows[id]}, id != 0
		}
	}
	id, ok := o.base.index[k][key]
	if !ok {
		return row{}, false
	}
	values, changed := o.rows[id]
	if !changed {
		values = o.base.rows[id]
	}
	return row{id, values}, values != nil
}

// conflict reports whether another row holds one of the unique keys of values.
func (o *overlay) conflict(id int64, values []Value) (string, bool) {
	for k := range o.base.keys {
		key, ok := o.base.key(k, values)
		if !ok {
			continue
		}
		if r, ok := o.lookup(k, key); ok && r.id != id {
			return key, true
		}
	}
	return "", false
}

// put stores a row version; old is the visible version, or nil for a new row.
func (o *overlay) put(id int64, old, values []Value) {
	o.free(old)
	if old == nil {
		o.added = append(o.added, id)
		o.next = max(o.next, id+1)
	}
	o.rows[id] = values
	for k := range o.base.keys {
		if key, ok := o.base.key(k, values); ok {
			o.index[k][key] = id
		}
	}
}

// remove deletes a visible row.
func (o *overlay) remove(r row) {
	o.free(r.values)
	o.rows[r.id] = nil
}

func (o *overlay) free(values []Value) {
	for k := range o.base.keys {
		if key, ok := o.base.key(k, values); ok {
			o.index[k][key] = 0
		}
	}
}

func noTable(name string) error {
	return fault(stateNoTable, "relation %q does not exist", name)
}

func errFenced() error {
	return fault(stateReadOnly, "the instance was fenced; the transaction was rolled back")
}

func canceled(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return fault(stateCanceled, "canceling statement due to user request")
}
