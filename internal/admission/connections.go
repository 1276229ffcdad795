package admission

// SetConnections changes Settings.Connections of a queue that was created with a limit.
func (q *Queue) SetConnections(n int) {
	q.connections = max(n, 1)
}

// ReleaseConnection records that an admitted statement, or the transaction that it began, no longer uses its
// connection.
func (q *Queue) ReleaseConnection() {
	q.connectionsInUse = max(q.connectionsInUse-1, 0)
}

// hasConnection reports whether a statement outside a transaction can have a connection.
func (q *Queue) hasConnection() bool {
	return q.connections == 0 || q.connectionsInUse < q.connections
}
