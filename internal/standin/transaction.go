package standin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// writeLockTimeout bounds the time that a transaction waits for another writing transaction.
const writeLockTimeout = 5 * time.Second

// changeKind is the kind of a rowChange.
type changeKind uint8

const (
	changeCreate changeKind = iota + 1
	changeDrop
	changePut
	changeRemove
)

// rowChange is one change that a transaction makes to a table or a row.
type rowChange struct {
	Kind   changeKind
	Table  string
	SQL    string // table definition, for changeCreate
	Row    int64
	Values []Value
}

// logRecord is the log record of a committed transaction.
type logRecord struct {
	Term    position.Term
	Offset  position.Offset
	Time    time.Time // commit time at the primary
	Changes []rowChange
}

// transaction is the open transaction of a session with its uncommitted changes. It is used only by the
// goroutine of its connection. Each statement sees the state committed when it runs, with the transaction's
// own changes applied.
type transaction struct {
	server    *Server
	explicit  bool // BEGIN was sent
	readOnly  bool
	failed    bool            // only ROLLBACK or COMMIT is accepted
	writeLock chan struct{}   // write lock of the term, or nil if it is not held
	fenced    <-chan struct{} // leadership.fenced of that term
	term      position.Term
	changes   []rowChange
	tables    map[string]*overlay
	now       time.Time // start of the transaction, the result of now()
}

// overlay is a table as a transaction sees it: the committed content and the transaction's uncommitted
// changes.
type overlay struct {
	base    *table
	dropped bool
	rows    map[int64][]Value  // changed rows; nil means deleted
	added   []int64            // IDs of the rows that the transaction inserted
	index   []map[string]int64 // as in table; 0 means that the transaction released the key
	nextID  int64
}

// acquireWriteLock makes the transaction the only writer of the instance. It waits at most writeLockTimeout.
func (tx *transaction) acquireWriteLock(ctx context.Context) error {
	if err := tx.checkNotFenced(); err != nil {
		return err
	}
	if tx.readOnly {
		return sqlErrorf(stateReadOnly, "cannot execute this statement in a read-only transaction")
	}
	if tx.writeLock != nil {
		return nil
	}
	lead, err := tx.server.leadership()
	if err != nil {
		return err
	}
	timer := time.NewTimer(writeLockTimeout)
	defer timer.Stop()
	select {
	case lead.writeLock <- struct{}{}:
	case <-lead.fenced:
		return errFenced()
	case <-ctx.Done():
		return errCanceled(ctx)
	case <-timer.C:
		return sqlErrorf(stateLockTimeout, "another transaction kept its lock for %v", writeLockTimeout)
	}
	tx.writeLock, tx.fenced, tx.term = lead.writeLock, lead.fenced, lead.term
	return tx.checkNotFenced()
}

// checkNotFenced returns an error if the instance was fenced after the transaction acquired the write lock.
func (tx *transaction) checkNotFenced() error {
	select {
	case <-tx.fenced:
		return errFenced()
	default:
		return nil
	}
}

// release releases the write lock and discards the changes.
func (tx *transaction) release() {
	if tx.writeLock != nil {
		<-tx.writeLock
	}
	tx.writeLock, tx.fenced, tx.changes, tx.tables = nil, nil, nil, nil
}

// commit appends the changes to the log. It returns the position of the record, or the zero position if
// nothing was written.
func (tx *transaction) commit() (position.Position, error) {
	defer tx.release()
	if err := tx.checkNotFenced(); err != nil {
		return position.Position{}, err
	}
	if len(tx.changes) == 0 {
		return position.Position{}, nil
	}
	return tx.server.commit(tx.term, tx.changes)
}

// visibleTable returns a table as this transaction sees it. The caller must hold Server.mu.
func (tx *transaction) visibleTable(name string) (*overlay, error) {
	if o, ok := tx.tables[name]; ok {
		if o.dropped {
			return nil, errNoTable(name)
		}
		return o, nil
	}
	t, ok := tx.server.tables[name]
	if !ok {
		return nil, errNoTable(name)
	}
	return &overlay{base: t, nextID: t.nextID}, nil
}

// writableOverlay returns the overlay of a table for changes. The caller must hold Server.mu.
func (tx *transaction) writableOverlay(name string) (*overlay, error) {
	o, err := tx.visibleTable(name)
	if err != nil {
		return nil, err
	}
	if o.rows == nil {
		o.rows = map[int64][]Value{}
		for range o.base.keys {
			o.index = append(o.index, map[string]int64{})
		}
	}
	if tx.tables == nil {
		tx.tables = map[string]*overlay{}
	}
	tx.tables[name] = o
	return o, nil
}

// scan returns the visible rows in order of insertion.
func (o *overlay) scan() []row {
	rows := make([]row, 0, len(o.base.rows)+len(o.added))
	for _, id := range o.base.insertionOrder {
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

// lookup returns the visible row whose unique key k has the given text.
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

// conflict reports whether another visible row has the same value of a unique key, and returns the text of
// that key.
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

// put stores a new version of a row; old is the visible version, or nil for a new row.
func (o *overlay) put(id int64, old, values []Value) {
	o.releaseKeys(old)
	if old == nil {
		o.added = append(o.added, id)
		o.nextID = max(o.nextID, id+1)
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
	o.releaseKeys(r.values)
	o.rows[r.id] = nil
}

func (o *overlay) releaseKeys(values []Value) {
	for k := range o.base.keys {
		if key, ok := o.base.key(k, values); ok {
			o.index[k][key] = 0
		}
	}
}

func errNoTable(name string) error {
	return sqlErrorf(stateNoTable, "relation %q does not exist", name)
}

func errFenced() error {
	return sqlErrorf(stateReadOnly, "the instance was fenced; the transaction was rolled back")
}

func errCanceled(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return sqlErrorf(stateCanceled, "canceling statement due to user request")
}
