package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	pg "github.com/pganalyze/pg_query_go/v6"
)

// prepared is a parsed statement.
type prepared struct {
	sql    string
	stmt   *pg.RawStmt // nil for an empty query
	types  []oid
	fields []field
}

// portal is a bound statement.
type portal struct {
	statement *prepared
	params    []Value
	formats   []int16
	result    *result // after the first Execute
	sent      int     // rows already sent
}

// query executes a simple query, which may hold several statements.
func (c *session) query(sql string) {
	tree, err := pg.Parse(sql)
	if err != nil {
		c.fail(fault(stateSyntax, "%v", err))
		return
	}
	if len(tree.Stmts) == 0 {
		c.out.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, stmt := range tree.Stmts {
		out, err := c.run(stmt, sql, nil)
		if err == nil && i == len(tree.Stmts)-1 && c.x != nil && !c.x.explicit {
			err = c.commit()
		}
		if err == nil {
			err = c.sendAll(out)
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// sendAll sends a whole result in text format.
func (c *session) sendAll(out *result) error {
	if out.fields != nil {
		c.out.Send(description(out.fields, nil))
	}
	for _, values := range out.rows {
		if err := c.sendRow(out.fields, values, nil); err != nil {
			return err
		}
	}
	c.out.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
	return nil
}

func (c *session) parse(m *pgproto3.Parse) error {
	tree, err := pg.Parse(m.Query)
	if err != nil {
		return fault(stateSyntax, "%v", err)
	}
	if len(tree.Stmts) > 1 {
		return fault(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if m.Name != "" && c.statements[m.Name] != nil {
		return fault("42P05", "prepared statement %q already exists", m.Name)
	}
	p := &prepared{sql: m.Query, types: append([]oid{}, m.ParameterOIDs...)}
	if len(tree.Stmts) == 1 {
		p.stmt = tree.Stmts[0]
		if err := c.infer(p); err != nil {
			return err
		}
	}
	c.statements[m.Name] = p
	c.out.Send(&pgproto3.ParseComplete{})
	return nil
}

// infer finds the parameter types and the result of a prepared statement.
func (c *session) infer(p *prepared) error {
	x := c.begin()
	if x.failed && !ends(p.stmt.Stmt) {
		return errFailed()
	}
	r := &run{ctx: c.ctx, session: c, x: x, types: p.types}
	var err error
	switch n := p.stmt.Stmt.Node.(type) {
	case *pg.Node_SelectStmt:
		p.fields, err = r.describeSelect(n.SelectStmt)
	case *pg.Node_InsertStmt, *pg.Node_UpdateStmt, *pg.Node_DeleteStmt:
		p.fields, err = r.describeChange(p.stmt.Stmt)
	case *pg.Node_VariableShowStmt:
		p.fields = []field{textField(n.VariableShowStmt.Name)}
	}
	p.types = r.types
	for i, t := range p.types {
		if t == 0 || t == pgtype.UnknownOID {
			p.types[i] = pgtype.TextOID
		}
	}
	return err
}

func (c *session) bind(m *pgproto3.Bind) error {
	p, ok := c.statements[m.PreparedStatement]
	if !ok {
		return fault(stateNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.types) {
		return fault(stateBadProtocol, "bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(p.types))
	}
	q := &portal{statement: p, formats: append([]int16{}, m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		v, err := c.decode(p.types[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		q.params = append(q.params, v)
	}
	c.portals[m.DestinationPortal] = q
	c.out.Send(&pgproto3.BindComplete{})
	return nil
}

// decode reads a parameter.
func (c *session) decode(kind oid, format int16, raw []byte) (Value, error) {
	if raw == nil {
		return nil, nil
	}
	if format == pgtype.TextFormatCode {
		return convert(string(raw), kind)
	}
	t, ok := c.types.TypeForOID(kind)
	if !ok {
		return nil, fault(stateNotSupported, "the stand-in does not support parameters of type %d", kind)
	}
	v, err := t.Codec.DecodeValue(c.types, kind, format, raw)
	if err != nil {
		return nil, fault(stateBadText, "%v", err)
	}
	return normalize(v), nil
}

func (c *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := c.statements[m.Name]
		if !ok {
			return fault(stateNoStatement, "prepared statement %q does not exist", m.Name)
		}
		c.out.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
		c.sendDescription(p, nil)
		return nil
	}
	q, ok := c.portals[m.Name]
	if !ok {
		return fault(stateNoPortal, "portal %q does not exist", m.Name)
	}
	c.sendDescription(q.statement, q.formats)
	return nil
}

func (c *session) sendDescription(p *prepared, formats []int16) {
	if p.fields == nil {
		c.out.Send(&pgproto3.NoData{})
		return
	}
	c.out.Send(description(p.fields, formats))
}

func (c *session) execute(m *pgproto3.Execute) error {
	q, ok := c.portals[m.Portal]
	if !ok {
		return fault(stateNoPortal, "portal %q does not exist", m.Portal)
	}
	if q.statement.stmt == nil {
		c.out.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if q.result == nil {
		out, err := c.run(q.statement.stmt, q.statement.sql, q.params)
		if err != nil {
			return err
		}
		q.result = out
	}
	last := len(q.result.rows)
	if m.MaxRows > 0 {
		last = min(last, q.sent+int(m.MaxRows))
	}
	for ; q.sent < last; q.sent++ {
		if err := c.sendRow(q.result.fields, q.result.rows[q.sent], q.formats); err != nil {
			return err
		}
	}
	if q.sent < len(q.result.rows) {
		c.out.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.out.Send(&pgproto3.CommandComplete{CommandTag: []byte(q.result.tag)})
	return nil
}

func (c *session) close(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.statements, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.out.Send(&pgproto3.CloseComplete{})
}

func (c *session) sendRow(fields []field, values []Value, formats []int16) error {
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		if v == nil {
			continue
		}
		v, err := convert(v, fields[i].kind)
		if err != nil {
			return err
		}
		if formatOf(formats, i) == pgtype.TextFormatCode {
			row.Values[i] = []byte(text(v))
			continue
		}
		if row.Values[i], err = c.types.Encode(fields[i].kind, pgtype.BinaryFormatCode, v, []byte{}); err != nil {
			return err
		}
	}
	c.out.Send(row)
	return nil
}

func description(fields []field, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, f := range fields {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(f.name), DataTypeOID: f.kind, DataTypeSize: size(f.kind), TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return d
}

// formatOf returns the format of column i: none given means text, one given holds for all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return pgtype.TextFormatCode
}
