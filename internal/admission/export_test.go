package admission

// Accounts returns the number of client accounts for which the queue keeps state.
func (q *Queue) Accounts() int {
	return len(q.first.flows)
}
