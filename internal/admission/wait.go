package admission

import (
	"math"
	"time"
)

// Waits returns how long a statement of a client account that arrives now is expected to wait, by priority from 0 on, or
// nil as long as too few statements have been observed. It counts only the work that goes first: accounts that use less
// than their share wait less than those that surge. It is 0 if a slot is free. Without Settings.Urgency there is one value
// for all priorities. A priority without statements of late has the wait of the next more urgent one, which is not longer.
//
// Unlike Push it assumes the mean service time. With minServiceRatio no estimate would exceed the deadlines, since Push
// accepts statements up to that limit.
func (q *Queue) Waits(now time.Time, account AccountID) []time.Duration {
	if !q.urgency {
		if q.first.service.samples < minSamples {
			return nil
		}
		return []time.Duration{q.wait(now, &q.first, account)}
	}
	var waits []time.Duration
	for _, c := range q.classes {
		if c.service.samples < minSamples {
			continue
		}
		latest := time.Duration(0)
		if n := len(waits); n > 0 {
			latest = waits[n-1]
		}
		for len(waits) < int(c.priority) {
			waits = append(waits, latest)
		}
		waits = append(waits, max(q.wait(now, c, account), latest))
	}
	return waits
}

// wait returns how long a statement of a class and a client account that arrives now is expected to wait.
func (q *Queue) wait(now time.Time, c *class, account AccountID) time.Duration {
	work := 0.0
	if q.waiting > 0 {
		work = c.expectedBefore(now, account)
		if q.urgency {
			work += q.transactionWork(math.Inf(1)) - c.workAhead(continuing, nil, 0, math.Inf(1)) + q.urgentWork(c, math.Inf(1))
		}
	}
	if q.Running() >= q.limit.allowed() || !q.hasConnection() {
		work += c.service.value // until the next of the running statements ends
	}
	return time.Duration(work / float64(q.limit.allowed()) * float64(time.Second))
}

// expectedBefore returns the slot time of the waiting statements of the class that run before a new one of a client account.
func (c *class) expectedBefore(now time.Time, account AccountID) float64 {
	own := c.flows[account]
	if own == nil {
		own = &flow{account: account, class: c, weight: 1} // has a start tag below all others
	}
	cost := own.cost()
	tag := own.nextStart()
	if own.waiting == 0 {
		tag = max(tag, c.virtual-idleCredit*cost/own.weight)
	}
	work := float64(c.ownBefore(now, own)) * cost
	tag += work / own.weight
	for lane := range numLanes {
		for _, e := range c.heaps[lane].entries {
			f := e.flow
			switch {
			case lane == continuing:
				work += float64(f.lists[lane].length) * f.cost()
			case f == own || lane == reading && f.lists[writing].length > 0:
				// A flow that waits in both lanes is counted once, since they share its start tag.
			default:
				work += c.tagged(f, tag)
			}
		}
	}
	return work
}

// nextStart returns the start tag of the next statement of a flow outside transactions. Those of open transactions run first
// and are charged like any other.
func (f *flow) nextStart() float64 {
	return f.start + float64(f.lists[continuing].length)*f.cost()/f.weight
}

// tagged returns the slot time of the waiting statements of a flow, outside transactions, with start tags below tag.
func (c *class) tagged(f *flow, tag float64) float64 {
	length := f.lists[writing].length
	if c.queue.readShare <= 0 { // otherwise reads that wait may be delayed in favor of a write
		length += f.lists[reading].length
	}
	work := float64(length) * f.cost()
	if c.queue.policy == Fair {
		work = min(work, max(tag-f.nextStart(), 0)*f.weight)
	}
	return work
}

// ownBefore returns how many waiting statements of a flow, outside transactions, run before a new one. There are none in a
// list that serves its newest statement first, because others are overdue.
func (c *class) ownBefore(now time.Time, f *flow) int {
	sum := 0
	for _, lane := range []lane{writing, reading} {
		l := &f.lists[lane]
		switch {
		case l.length == 0 || lane == reading && c.queue.readShare > 0:
		case !l.lastOverdue.IsZero() && now.Sub(l.lastOverdue) < lifoDuration:
		case c.queue.isOverdue(now, f, &c.queue.nodes[l.head].ticket):
		default:
			sum += l.length
		}
	}
	return sum
}
