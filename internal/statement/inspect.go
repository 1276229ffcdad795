package statement

import (
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// facts are the findings of a walk over a parse tree.
type facts struct {
	read   bool   // all nodes, functions, operators and types are known to have no side effects
	reason string // the first reason to refuse the statement
	remedy string
}

func (f *facts) refuse(reason, remedy string) {
	if f.reason == "" {
		f.reason, f.remedy = reason, remedy
	}
}

func inspect(n *pg.Node) facts {
	f := facts{read: true}
	f.walk(n.ProtoReflect())
	return f
}

// walk visits the messages in the order of their fields, so the first reason is deterministic.
func (f *facts) walk(m protoreflect.Message) {
	f.visit(m)
	d := m.Descriptor()
	if oneofs := d.Oneofs(); oneofs.Len() > 0 {
		// A Node has some 270 alternatives; checking each of them took 40 µs per node.
		if field := m.WhichOneof(oneofs.Get(0)); field != nil && field.Message() != nil {
			f.walk(m.Get(field).Message())
		}
		if d.Name() == "Node" {
			return
		}
	}
	fields := d.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.Kind() != protoreflect.MessageKind || field.ContainingOneof() != nil || !m.Has(field) {
			continue
		}
		if !field.IsList() {
			f.walk(m.Get(field).Message())
			continue
		}
		list := m.Get(field).List()
		for j := range list.Len() {
			f.walk(list.Get(j).Message())
		}
	}
}

func (f *facts) visit(m protoreflect.Message) {
	if !readNodes[m.Descriptor().Name()] {
		f.read = false
	}
	switch x := m.Interface().(type) {
	case *pg.FuncCall:
		f.visitFunction(x)
	case *pg.A_Expr:
		f.visitOperator(x.Kind, x.Name)
	case *pg.SubLink:
		f.visitOperator(pg.A_Expr_Kind_AEXPR_OP, x.OperName)
	case *pg.SortBy:
		f.visitOperator(pg.A_Expr_Kind_AEXPR_OP, x.UseOp)
	case *pg.TypeName:
		f.read = f.read && readType(x)
	case *pg.RangeVar:
		f.refuse(refuseTable(x))
	case *pg.ExecuteStmt:
		f.read = false
	case *pg.CreateTableAsStmt:
		if x.Query.GetExecuteStmt() != nil {
			f.refuse("CREATE TABLE AS EXECUTE is not carried", "write out the query")
		}
	case *pg.ExplainStmt:
		if x.Query.GetExecuteStmt() != nil {
			f.refuse("EXPLAIN EXECUTE is not carried", "write out the query")
		}
	}
}

func (f *facts) visitFunction(x *pg.FuncCall) {
	schema, name := qualified(x.Funcname)
	f.refuse(refuseFunction(name, x.Args))
	if (schema != "" && schema != "pg_catalog") || !readFunctions[name] {
		f.read = false
	}
}

func (f *facts) visitOperator(kind pg.A_Expr_Kind, names []*pg.Node) {
	if len(names) == 0 {
		return
	}
	switch kind {
	case pg.A_Expr_Kind_AEXPR_BETWEEN, pg.A_Expr_Kind_AEXPR_NOT_BETWEEN,
		pg.A_Expr_Kind_AEXPR_BETWEEN_SYM, pg.A_Expr_Kind_AEXPR_NOT_BETWEEN_SYM:
		return
	}
	schema, name := qualified(names)
	if (schema != "" && schema != "pg_catalog") || !readOperators[name] {
		f.read = false
	}
}

func readType(x *pg.TypeName) bool {
	if x.PctType {
		return false
	}
	if len(x.Names) == 0 {
		return true
	}
	schema, name := qualified(x.Names)
	return (schema == "" || schema == "pg_catalog") && readTypes[name]
}

// qualified splits a dotted name into the schema, "" if there is none, and the name.
func qualified(names []*pg.Node) (schema, name string) {
	if len(names) == 0 {
		return "", ""
	}
	name = names[len(names)-1].GetString_().GetSval()
	parts := make([]string, 0, 2)
	for _, part := range names[:len(names)-1] {
		parts = append(parts, part.GetString_().GetSval())
	}
	return strings.Join(parts, "."), name
}
