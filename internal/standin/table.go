package standin

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	pg "github.com/pganalyze/pg_query_go/v6"
)

type column struct {
	name        string
	typeOID     oid
	notNull     bool
	serial      bool
	defaultExpr *pg.Node // or nil
}

// table is the committed content of one table. It is guarded by Server.mu. Rows are never modified in place,
// so a reader may use them after it has released the lock.
type table struct {
	name           string
	columns        []column
	keys           [][]int            // column indexes of each unique key
	rows           map[int64][]Value  // by row ID
	insertionOrder []int64            // row IDs; may include deleted rows
	index          []map[string]int64 // per unique key: row IDs by the text of the key
	nextID         int64
}

// row is one row as it is visible to a statement.
type row struct {
	id     int64
	values []Value
}

// newTable builds an empty table from its definition.
func newTable(c *pg.CreateStmt) (*table, error) {
	t := &table{name: c.Relation.Relname, rows: map[int64][]Value{}, nextID: 1}
	for _, e := range c.TableElts {
		switch n := e.Node.(type) {
		case *pg.Node_ColumnDef:
			if err := t.addColumn(n.ColumnDef); err != nil {
				return nil, err
			}
		case *pg.Node_Constraint:
			if err := t.addKey(n.Constraint); err != nil {
				return nil, err
			}
		default:
			return nil, errUnsupported("this table element")
		}
	}
	for range t.keys {
		t.index = append(t.index, map[string]int64{})
	}
	return t, nil
}

func (t *table) addColumn(d *pg.ColumnDef) error {
	typeOID, err := typeOfName(d.TypeName)
	if err != nil {
		return err
	}
	c := column{name: d.Colname, typeOID: typeOID, serial: strings.HasSuffix(lastName(d.TypeName.Names), "serial")}
	for _, n := range d.Constraints {
		k := n.GetConstraint()
		switch k.GetContype() {
		case pg.ConstrType_CONSTR_NOTNULL:
			c.notNull = true
		case pg.ConstrType_CONSTR_DEFAULT:
			c.defaultExpr = k.RawExpr
		case pg.ConstrType_CONSTR_PRIMARY, pg.ConstrType_CONSTR_UNIQUE:
			c.notNull = c.notNull || k.Contype == pg.ConstrType_CONSTR_PRIMARY
			t.keys = append(t.keys, []int{len(t.columns)})
		case pg.ConstrType_CONSTR_NULL:
		default:
			return errUnsupported("this column constraint")
		}
	}
	t.columns = append(t.columns, c)
	return nil
}

func (t *table) addKey(k *pg.Constraint) error {
	if k.Contype != pg.ConstrType_CONSTR_PRIMARY && k.Contype != pg.ConstrType_CONSTR_UNIQUE {
		return errUnsupported("this table constraint")
	}
	var key []int
	for _, n := range k.Keys {
		i, err := t.columnIndex(n.GetString_().GetSval())
		if err != nil {
			return err
		}
		if k.Contype == pg.ConstrType_CONSTR_PRIMARY {
			t.columns[i].notNull = true
		}
		key = append(key, i)
	}
	t.keys = append(t.keys, key)
	return nil
}

// columnIndex returns the index of a column.
func (t *table) columnIndex(name string) (int, error) {
	i := slices.IndexFunc(t.columns, func(c column) bool { return c.name == name })
	if i < 0 {
		return 0, sqlErrorf(stateNoColumn, "column %q does not exist", name)
	}
	return i, nil
}

// put stores a new or changed row.
func (t *table) put(id int64, values []Value) {
	old, ok := t.rows[id]
	if ok {
		t.unindex(old)
	} else {
		t.insertionOrder = append(t.insertionOrder, id)
	}
	t.rows[id] = values
	t.nextID = max(t.nextID, id+1)
	for k := range t.keys {
		if text, ok := t.key(k, values); ok {
			t.index[k][text] = id
		}
	}
}

// remove deletes a row. It compacts insertionOrder once that consists mostly of deleted rows.
func (t *table) remove(id int64) {
	t.unindex(t.rows[id])
	delete(t.rows, id)
	if len(t.insertionOrder) > 2*len(t.rows)+64 {
		t.insertionOrder = slices.DeleteFunc(slices.Clone(t.insertionOrder), func(id int64) bool {
			_, ok := t.rows[id]
			return !ok
		})
	}
}

func (t *table) unindex(values []Value) {
	for k := range t.keys {
		if text, ok := t.key(k, values); ok {
			delete(t.index[k], text)
		}
	}
}

// key returns the text of unique key k for a row. It returns false if one of the key's values is null.
func (t *table) key(k int, values []Value) (string, bool) {
	if values == nil {
		return "", false
	}
	var b strings.Builder
	for _, c := range t.keys[k] {
		if values[c] == nil {
			return "", false
		}
		fmt.Fprintf(&b, "%q,", text(values[c]))
	}
	return b.String(), true
}

func typeOfName(n *pg.TypeName) (oid, error) {
	name := lastName(n.Names)
	if t, ok := typeNames[name]; ok && len(n.ArrayBounds) == 0 {
		return t, nil
	}
	return 0, errUnsupported("type " + name)
}

func lastName(names []*pg.Node) string {
	if len(names) == 0 {
		return ""
	}
	return names[len(names)-1].GetString_().GetSval()
}

// field describes one column of a result.
type field struct {
	name    string
	typeOID oid
}

// result is the result of a statement: its columns and rows, if any, and the command tag.
type result struct {
	fields []field
	rows   [][]Value
	tag    string
}

// textField returns a result column of type text.
func textField(name string) field {
	return field{name: name, typeOID: pgtype.TextOID}
}
