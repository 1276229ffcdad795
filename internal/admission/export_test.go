package admission

// Accounts returns the number of client accounts that the queue remembers.
func (q *Queue) Accounts() int {
	return len(q.flows)
}
