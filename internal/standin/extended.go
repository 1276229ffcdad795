package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	pg "github.com/pganalyze/pg_query_go/v6"
)

// preparedStatement is a parsed statement with its inferred types.
type preparedStatement struct {
	sql        string
	stmt       *pg.RawStmt // nil for an empty query
	paramTypes []oid
	fields     []field
}

// portal is a prepared statement with bound parameters, and its result once executed.
type portal struct {
	statement *preparedStatement
	params    []Value
	formats   []int16
	result    *result // after the first Execute
	rowsSent  int     // number of result rows already sent
}

// handleQuery executes a simple query, which may contain several statements.
func (c *session) handleQuery(sql string) {
	tree, err := pg.Parse(sql)
	if err != nil {
		c.reportError(sqlErrorf(stateSyntax, "%v", err))
		return
	}
	if len(tree.Stmts) == 0 {
		c.proto.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, stmt := range tree.Stmts {
		out, err := c.executeStatement(stmt, sql, nil)
		if err == nil && i == len(tree.Stmts)-1 && c.tx != nil && !c.tx.explicit {
			err = c.commit()
		}
		if err == nil {
			err = c.sendResult(out)
		}
		if err != nil {
			c.reportError(err)
			return
		}
	}
}

// sendResult sends a whole result in text format.
func (c *session) sendResult(out *result) error {
	if out.fields != nil {
		c.proto.Send(rowDescription(out.fields, nil))
	}
	for _, values := range out.rows {
		if err := c.sendRow(out.fields, values, nil); err != nil {
			return err
		}
	}
	c.proto.Send(&pgproto3.CommandComplete{CommandTag: []byte(out.tag)})
	return nil
}

func (c *session) handleParse(m *pgproto3.Parse) error {
	tree, err := pg.Parse(m.Query)
	if err != nil {
		return sqlErrorf(stateSyntax, "%v", err)
	}
	if len(tree.Stmts) > 1 {
		return sqlErrorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if m.Name != "" && c.statements[m.Name] != nil {
		return sqlErrorf("42P05", "prepared statement %q already exists", m.Name)
	}
	p := &preparedStatement{sql: m.Query, paramTypes: append([]oid{}, m.ParameterOIDs...)}
	if len(tree.Stmts) == 1 {
		p.stmt = tree.Stmts[0]
		if err := c.inferTypes(p); err != nil {
			return err
		}
	}
	c.statements[m.Name] = p
	c.proto.Send(&pgproto3.ParseComplete{})
	return nil
}

// inferTypes infers the parameter types and the result columns of a prepared statement.
func (c *session) inferTypes(p *preparedStatement) error {
	tx := c.ensureTransaction()
	if tx.failed && !endsTransaction(p.stmt.Stmt) {
		return errTransactionAborted()
	}
	e := &execution{ctx: c.ctx, session: c, tx: tx, paramTypes: p.paramTypes}
	var err error
	switch n := p.stmt.Stmt.Node.(type) {
	case *pg.Node_SelectStmt:
		p.fields, err = e.describeSelect(n.SelectStmt)
	case *pg.Node_InsertStmt, *pg.Node_UpdateStmt, *pg.Node_DeleteStmt:
		p.fields, err = e.describeChange(p.stmt.Stmt)
	case *pg.Node_VariableShowStmt:
		p.fields = []field{textField(n.VariableShowStmt.Name)}
	}
	p.paramTypes = e.paramTypes
	for i, t := range p.paramTypes {
		if t == 0 || t == pgtype.UnknownOID {
			p.paramTypes[i] = pgtype.TextOID
		}
	}
	return err
}

func (c *session) handleBind(m *pgproto3.Bind) error {
	p, ok := c.statements[m.PreparedStatement]
	if !ok {
		return sqlErrorf(stateNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.paramTypes) {
		return sqlErrorf(stateBadProtocol, "bind message supplies %d parameters, but the statement requires %d",
			len(m.Parameters), len(p.paramTypes))
	}
	q := &portal{statement: p, formats: append([]int16{}, m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		v, err := c.decodeParameter(p.paramTypes[i], formatCode(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		q.params = append(q.params, v)
	}
	c.portals[m.DestinationPortal] = q
	c.proto.Send(&pgproto3.BindComplete{})
	return nil
}

// decodeParameter decodes a parameter value in text or binary format.
func (c *session) decodeParameter(typeOID oid, format int16, raw []byte) (Value, error) {
	if raw == nil {
		return nil, nil
	}
	if format == pgtype.TextFormatCode {
		return convert(string(raw), typeOID)
	}
	t, ok := c.typeMap.TypeForOID(typeOID)
	if !ok {
		return nil, sqlErrorf(stateNotSupported, "the stand-in does not support parameters of type %d", typeOID)
	}
	v, err := t.Codec.DecodeValue(c.typeMap, typeOID, format, raw)
	if err != nil {
		return nil, sqlErrorf(stateInvalidText, "%v", err)
	}
	return normalize(v), nil
}

func (c *session) handleDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := c.statements[m.Name]
		if !ok {
			return sqlErrorf(stateNoStatement, "prepared statement %q does not exist", m.Name)
		}
		c.proto.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.paramTypes})
		c.sendDescription(p, nil)
		return nil
	}
	q, ok := c.portals[m.Name]
	if !ok {
		return sqlErrorf(stateNoPortal, "portal %q does not exist", m.Name)
	}
	c.sendDescription(q.statement, q.formats)
	return nil
}

func (c *session) sendDescription(p *preparedStatement, formats []int16) {
	if p.fields == nil {
		c.proto.Send(&pgproto3.NoData{})
		return
	}
	c.proto.Send(rowDescription(p.fields, formats))
}

func (c *session) handleExecute(m *pgproto3.Execute) error {
	q, ok := c.portals[m.Portal]
	if !ok {
		return sqlErrorf(stateNoPortal, "portal %q does not exist", m.Portal)
	}
	if q.statement.stmt == nil {
		c.proto.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if q.result == nil {
		out, err := c.executeStatement(q.statement.stmt, q.statement.sql, q.params)
		if err != nil {
			return err
		}
		q.result = out
	}
	last := len(q.result.rows)
	if m.MaxRows > 0 {
		last = min(last, q.rowsSent+int(m.MaxRows))
	}
	for ; q.rowsSent < last; q.rowsSent++ {
		if err := c.sendRow(q.result.fields, q.result.rows[q.rowsSent], q.formats); err != nil {
			return err
		}
	}
	if q.rowsSent < len(q.result.rows) {
		c.proto.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.proto.Send(&pgproto3.CommandComplete{CommandTag: []byte(q.result.tag)})
	return nil
}

func (c *session) handleClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.statements, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.proto.Send(&pgproto3.CloseComplete{})
}

func (c *session) sendRow(fields []field, values []Value, formats []int16) error {
	row := &pgproto3.DataRow{Values: make([][]byte, len(values))}
	for i, v := range values {
		if v == nil {
			continue
		}
		v, err := convert(v, fields[i].typeOID)
		if err != nil {
			return err
		}
		if formatCode(formats, i) == pgtype.TextFormatCode {
			row.Values[i] = []byte(text(v))
			continue
		}
		if row.Values[i], err = c.typeMap.Encode(fields[i].typeOID, pgtype.BinaryFormatCode, v, []byte{}); err != nil {
			return err
		}
	}
	c.proto.Send(row)
	return nil
}

func rowDescription(fields []field, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, f := range fields {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(f.name), DataTypeOID: f.typeOID, DataTypeSize: typeSize(f.typeOID),
			TypeModifier: -1, Format: formatCode(formats, i),
		})
	}
	return d
}

// formatCode returns the format code of column or parameter i. An empty list means text for all; a list of
// one applies to all.
func formatCode(formats []int16, i int) int16 {
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
