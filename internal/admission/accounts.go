package admission

// flow returns the flow of the ticket's client account and updates its weight.
func (c *class) flow(t *Ticket) *flow {
	f := c.flows[t.Account]
	if f == nil {
		if c.queue.accounts >= c.queue.sweepAt {
			c.queue.dropIdle()
		}
		f = c.newFlow(t.Account)
		c.flows[t.Account] = f
		c.queue.accounts++
	}
	if t.Weight > 0 {
		f.weight = t.Weight
	}
	return f
}

// newFlow returns a new or recycled flow.
func (c *class) newFlow(account AccountID) *flow {
	f := c.queue.freeFlows
	if f == nil {
		f = new(flow)
	} else {
		c.queue.freeFlows = f.next
	}
	*f = flow{account: account, class: c, weight: 1}
	for i := range f.lists {
		f.lists[i] = ticketList{head: noNode, tail: noNode, heapIndex: notInHeap}
	}
	return f
}

// dropIdle removes flows without statements and debt. It runs when the number of flows has grown by half, so
// that its cost is spread over the additions.
func (q *Queue) dropIdle() {
	if !q.urgency {
		q.first.dropIdle()
	}
	for _, c := range q.classes {
		c.dropIdle()
	}
	q.sweepAt = max(q.accounts+q.accounts/2, minSweep)
}

func (c *class) dropIdle() {
	for account, f := range c.flows {
		if f.waiting == 0 && f.running == 0 && f.start <= c.virtual {
			delete(c.flows, account)
			f.next = c.queue.freeFlows
			c.queue.freeFlows = f
			c.queue.accounts--
		}
	}
}

// cost returns the slot time charged for a statement of the flow, in seconds.
func (f *flow) cost() float64 {
	if f.service.samples >= minSamples {
		return f.service.value
	}
	return f.class.service.expected()
}
