package slots

// HasResult reports whether a ticket has a result that Await has not returned.
func (t *Ticket) HasResult() bool { return len(t.ready) > 0 }
