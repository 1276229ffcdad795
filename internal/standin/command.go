package standin

import (
	"context"
	"strings"
	"time"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// executeStatement executes one statement in the session's transaction, which it opens if there is none.
func (c *session) executeStatement(stmt *pg.RawStmt, sql string, params []Value) (*result, error) {
	ctx, cancel := c.statementContext()
	defer cancel()
	tx := c.ensureTransaction()
	if tx.failed && !endsTransaction(stmt.Stmt) {
		return nil, errTransactionAborted()
	}
	if err := tx.checkNotFenced(); err != nil {
		if endsTransaction(stmt.Stmt) {
			tx.release()
			c.tx = nil
		}
		return nil, err
	}
	e := &execution{ctx: ctx, session: c, tx: tx, params: params}
	if needsWriteLock(stmt.Stmt) {
		if err := tx.acquireWriteLock(ctx); err != nil {
			return nil, err
		}
	}
	if needsSlot(stmt.Stmt) {
		if err := c.server.acquireSlot(ctx); err != nil {
			return nil, err
		}
		defer c.server.releaseSlot()
	}
	return e.dispatch(stmt, sql)
}

// acquireSlot waits for a free slot and then for the configured service time. The caller must release the
// slot unless it gets an error.
func (s *Server) acquireSlot(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return errCanceled(ctx)
	}
	service := time.Duration(s.hooks.serviceTime.Load())
	if service <= 0 {
		return nil
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		s.releaseSlot()
		return errCanceled(ctx)
	}
}

func (s *Server) releaseSlot() {
	<-s.slots
}

func (e *execution) dispatch(stmt *pg.RawStmt, sql string) (*result, error) {
	switch n := stmt.Stmt.Node.(type) {
	case *pg.Node_SelectStmt:
		return e.executeSelect(n.SelectStmt)
	case *pg.Node_InsertStmt:
		return e.insert(n.InsertStmt)
	case *pg.Node_UpdateStmt:
		return e.update(n.UpdateStmt)
	case *pg.Node_DeleteStmt:
		return e.delete(n.DeleteStmt)
	case *pg.Node_TruncateStmt:
		return e.truncate(n.TruncateStmt)
	case *pg.Node_CreateStmt:
		return e.createTable(n.CreateStmt, statementText(stmt, sql))
	case *pg.Node_DropStmt:
		return e.dropTable(n.DropStmt)
	}
	return e.session.executeUtility(stmt.Stmt)
}

// statementText returns the text of one statement of a query string, which may have several.
func statementText(stmt *pg.RawStmt, sql string) string {
	if stmt.StmtLen == 0 {
		return sql[stmt.StmtLocation:]
	}
	return sql[stmt.StmtLocation : stmt.StmtLocation+stmt.StmtLen]
}

// executeUtility executes statements that access no table.
func (c *session) executeUtility(n *pg.Node) (*result, error) {
	switch n := n.Node.(type) {
	case *pg.Node_TransactionStmt:
		return c.executeTransactionControl(n.TransactionStmt)
	case *pg.Node_VariableSetStmt:
		return c.executeSet(n.VariableSetStmt)
	case *pg.Node_VariableShowStmt:
		v, err := c.showSetting(n.VariableShowStmt.Name)
		return &result{fields: []field{textField(n.VariableShowStmt.Name)}, rows: [][]Value{{v}}, tag: "SHOW"}, err
	case *pg.Node_DiscardStmt:
		return &result{tag: "DISCARD ALL"}, c.discardAll()
	case *pg.Node_DeallocateStmt:
		if n.DeallocateStmt.Name == "" {
			c.statements = map[string]*preparedStatement{}
			return &result{tag: "DEALLOCATE ALL"}, nil
		}
		delete(c.statements, n.DeallocateStmt.Name)
		return &result{tag: "DEALLOCATE"}, nil
	case *pg.Node_ListenStmt:
		if n.ListenStmt.Conditionname != positionChannel {
			return nil, errUnsupported("channels other than " + positionChannel)
		}
		c.listen()
		return &result{tag: "LISTEN"}, nil
	case *pg.Node_UnlistenStmt:
		c.unlisten()
		return &result{tag: "UNLISTEN"}, nil
	}
	return nil, errUnsupported("this statement")
}

// executeTransactionControl executes BEGIN, COMMIT and ROLLBACK.
func (c *session) executeTransactionControl(t *pg.TransactionStmt) (*result, error) {
	switch t.Kind {
	case pg.TransactionStmtKind_TRANS_STMT_BEGIN, pg.TransactionStmtKind_TRANS_STMT_START:
		c.tx.explicit = true
		for _, o := range t.Options {
			if d := o.GetDefElem(); d.Defname == "transaction_read_only" {
				c.tx.readOnly = d.Arg.GetAConst().GetIval().GetIval() != 0
			}
		}
		return &result{tag: "BEGIN"}, nil
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT:
		if c.tx.failed {
			return c.rollback()
		}
		return &result{tag: "COMMIT"}, c.commit()
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return c.rollback()
	}
	return nil, errUnsupported("savepoints and two-phase commit")
}

func (c *session) rollback() (*result, error) {
	c.tx.release()
	c.tx = nil
	return &result{tag: "ROLLBACK"}, nil
}

// executeSet executes SET and RESET. Values are stored and shown but have no effect, except application_name
// and the access mode of SET TRANSACTION.
func (c *session) executeSet(v *pg.VariableSetStmt) (*result, error) {
	switch v.Kind {
	case pg.VariableSetKind_VAR_RESET, pg.VariableSetKind_VAR_SET_DEFAULT:
		delete(c.settings, strings.ToLower(v.Name))
		return &result{tag: "RESET"}, nil
	case pg.VariableSetKind_VAR_RESET_ALL:
		c.settings = map[string]string{}
		return &result{tag: "RESET"}, nil
	case pg.VariableSetKind_VAR_SET_MULTI:
		for _, o := range v.Args {
			if d := o.GetDefElem(); d.GetDefname() == "transaction_read_only" && v.Name == "TRANSACTION" {
				c.tx.readOnly = d.Arg.GetAConst().GetIval().GetIval() != 0
			}
		}
		return &result{tag: "SET"}, nil
	}
	var parts []string
	for _, a := range v.Args {
		value, err := constantValue(a.GetAConst())
		if err != nil {
			return nil, err
		}
		parts = append(parts, text(value))
	}
	return &result{tag: "SET"}, c.setSetting(v.Name, strings.Join(parts, ", "))
}

func (c *session) setSetting(name, value string) error {
	name = strings.ToLower(name)
	if name == "application_name" {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.applicationName = value
	}
	c.settings[name] = value
	return nil
}

// defaultSettings are the values that SHOW reports for settings that the client has not set.
var defaultSettings = map[string]string{
	"server_version": "16.0", "server_version_num": "160000", "transaction_isolation": "read committed",
	"default_transaction_read_only": "off", "timezone": "UTC", "client_encoding": "UTF8", "datestyle": "ISO, MDY",
	"standard_conforming_strings": "on", "search_path": "public", "statement_timeout": "0", "lock_timeout": "0",
}

func (c *session) showSetting(name string) (Value, error) {
	name = strings.ToLower(name)
	if name == "transaction_read_only" {
		if c.tx != nil && c.tx.readOnly {
			return "on", nil
		}
		return "off", nil
	}
	if v, ok := c.settings[name]; ok {
		return v, nil
	}
	if v, ok := defaultSettings[name]; ok {
		return v, nil
	}
	return nil, sqlErrorf(stateUnknownSetting, "unrecognized configuration parameter %q", name)
}

// discardAll resets the session, so that another client can use the connection.
func (c *session) discardAll() error {
	if c.tx.explicit {
		return sqlErrorf("25001", "DISCARD ALL cannot run inside a transaction block")
	}
	c.settings = map[string]string{}
	c.statements = map[string]*preparedStatement{}
	c.unlisten()
	return nil
}

// endsTransaction reports whether a statement is COMMIT or ROLLBACK, which may run in a failed transaction.
func endsTransaction(n *pg.Node) bool {
	switch n.GetTransactionStmt().GetKind() {
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT, pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return true
	}
	return false
}

// needsWriteLock reports whether a statement needs the write lock. The lock is acquired before the slot, so
// that a statement that waits for another transaction does not occupy a slot.
func needsWriteLock(n *pg.Node) bool {
	switch n := n.Node.(type) {
	case *pg.Node_SelectStmt:
		return len(n.SelectStmt.LockingClause) > 0
	case *pg.Node_InsertStmt, *pg.Node_UpdateStmt, *pg.Node_DeleteStmt, *pg.Node_TruncateStmt, *pg.Node_CreateStmt, *pg.Node_DropStmt:
		return true
	}
	return false
}

// needsSlot reports whether a statement occupies a slot. Transaction control, settings, the functions of the
// platform interface and standin_hook do not.
func needsSlot(n *pg.Node) bool {
	q := n.GetSelectStmt()
	if q == nil {
		return needsWriteLock(n)
	}
	if len(q.FromClause) == 1 {
		if f := q.FromClause[0].GetRangeFunction(); f != nil && len(f.Functions) == 1 {
			return !groupFunctions[lastName(f.Functions[0].GetList().Items[0].GetFuncCall().GetFuncname())]
		}
	}
	if len(q.FromClause) == 0 && len(q.TargetList) == 1 {
		switch lastName(q.TargetList[0].GetResTarget().GetVal().GetFuncCall().GetFuncname()) {
		case "group_terminate", "standin_hook":
			return false
		}
	}
	return true
}

func errTransactionAborted() error {
	return sqlErrorf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}
