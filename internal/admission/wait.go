package admission

import "time"

// Waits returns how long a statement of a client account that arrives now is expected to wait, by priority from 0 on, or
// nil as long as too few statements have been observed. It counts only the work that goes first: accounts that use less
// than their share wait less than those that surge. It is 0 if a slot is free.
//
// Unlike Push it assumes the mean service time. With minServiceRatio no estimate would exceed the deadlines, since Push
// accepts statements up to that limit.
func (q *Queue) Waits(now time.Time, account AccountID) []time.Duration {
	if q.service.samples < minSamples {
		return nil
	}
	work := 0.0
	if q.waiting > 0 {
		work = q.workBefore(now, account)
	}
	if q.Running() >= q.limit.allowed() || !q.hasConnection() {
		work += q.service.value // until the next of the running statements ends
	}
	seconds := work / float64(q.limit.allowed())
	return []time.Duration{time.Duration(seconds * float64(time.Second))}
}

// workBefore returns the slot time of the waiting statements that run before a new one of a client account.
func (q *Queue) workBefore(now time.Time, account AccountID) float64 {
	own := q.flows[account]
	if own == nil {
		own = &flow{account: account, weight: 1} // has a start tag below all others
	}
	cost := q.cost(own)
	tag := q.nextStart(own)
	if own.waiting == 0 {
		tag = max(tag, q.virtual-idleCredit*cost/own.weight)
	}
	work := float64(q.ownBefore(now, own)) * cost
	tag += work / own.weight
	for lane := range numLanes {
		for _, e := range q.heaps[lane].entries {
			f := e.flow
			switch {
			case lane == continuing:
				work += float64(f.lists[lane].length) * q.cost(f)
			case f == own || lane == reading && f.lists[writing].length > 0:
				// A flow that waits in both lanes is counted once, since they share its start tag.
			default:
				work += q.tagged(f, tag)
			}
		}
	}
	return work
}

// nextStart returns the start tag of the next statement of a flow outside transactions. Those of open transactions run first
// and are charged like any other.
func (q *Queue) nextStart(f *flow) float64 {
	return f.start + float64(f.lists[continuing].length)*q.cost(f)/f.weight
}

// tagged returns the slot time of the waiting statements of a flow, outside transactions, with start tags below tag.
func (q *Queue) tagged(f *flow, tag float64) float64 {
	length := f.lists[writing].length
	if q.readShare <= 0 { // otherwise reads that wait may be delayed in favor of a write
		length += f.lists[reading].length
	}
	work := float64(length) * q.cost(f)
	if q.policy == Fair {
		work = min(work, max(tag-q.nextStart(f), 0)*f.weight)
	}
	return work
}

// ownBefore returns how many waiting statements of a flow, outside transactions, run before a new one. There are none in a
// list that serves its newest statement first, because others are overdue.
func (q *Queue) ownBefore(now time.Time, f *flow) int {
	sum := 0
	for _, lane := range []lane{writing, reading} {
		l := &f.lists[lane]
		switch {
		case l.length == 0 || lane == reading && q.readShare > 0:
		case !l.lastOverdue.IsZero() && now.Sub(l.lastOverdue) < lifoDuration:
		case q.isOverdue(now, f, &q.nodes[l.head].ticket):
		default:
			sum += l.length
		}
	}
	return sum
}
