package admission

import "time"

// maxYields is the number of statements that one more urgent statement may displace, not counting those that are
// late in any case. Statements cost more in less urgent classes, so with more of them one short statement would
// displace a multiple of its own slot time.
const maxYields = 4

// yieldToTarget returns statements of less urgent classes if a new statement of the flow would miss its target
// otherwise.
func (q *Queue) yieldToTarget(now time.Time, f *flow, own lane, target time.Time) {
	if q.cannotMeet(now, f, own, target) {
		q.yieldTo(now, f, own, target)
	}
}

// yieldTo returns waiting statements of less urgent classes as not run, the least urgent first: those that can no
// longer be in time, then the latest. It returns none of the latter if a new statement of the flow would miss the
// deadline nevertheless, and reports whether it meets it now.
func (q *Queue) yieldTo(now time.Time, f *flow, own lane, deadline time.Time) bool {
	c := f.class
	if len(q.classes) < 2 || own == continuing || c.isLate(now, deadline) {
		return false
	}
	budget := q.budget(now, c, deadline)
	ahead := q.workBefore(f, own, budget)
	if ahead > budget {
		return false
	}
	fits := func() bool { return ahead+q.lowerMinimum(c, ahead) <= budget }
	q.yieldLate(now, c, fits)
	if q.canDisplace(c, ahead, budget) {
		q.displace(c, fits)
	}
	return fits()
}

// yieldLate returns the oldest statements of classes below c that can no longer be in time, until enough has been
// returned.
func (q *Queue) yieldLate(now time.Time, c *class, enough func() bool) {
	for i := len(q.classes) - 1; q.classes[i] != c; i-- {
		x := q.classes[i]
		for x.oldest != noNode && !enough() && q.cannotBeInTime(now, x.oldest) {
			q.yield(x.oldest)
		}
	}
}

// displace returns the latest statements of classes below c, until enough has been returned.
func (q *Queue) displace(c *class, enough func() bool) {
	left := maxYields
	for i := len(q.classes) - 1; q.classes[i] != c; i-- {
		x := q.classes[i]
		for x.newest != noNode && left > 0 && !enough() {
			q.yield(x.newest)
			left--
		}
	}
}

// canDisplace reports whether classes below c without maxYields of their statements leave enough time.
func (q *Queue) canDisplace(c *class, ahead, budget float64) bool {
	work, left := 0.0, maxYields
	for i := len(q.classes) - 1; q.classes[i] != c; i-- {
		x := q.classes[i]
		n := min(x.listed, left)
		work += float64(x.listed-n) * x.service.value
		left -= n
	}
	return ahead+work <= budget
}

// cannotBeInTime reports whether a waiting statement would be answered after its target, or after its deadline if
// it has no target.
func (q *Queue) cannotBeInTime(now time.Time, index int32) bool {
	n := &q.nodes[index]
	return q.isOverdue(now, n.flow, &n.ticket) || n.flow.class.isLate(now, n.ticket.Deadline)
}

// yield returns a waiting statement in favor of a more urgent one.
func (q *Queue) yield(index int32) {
	t := q.nodes[index].ticket
	t.Yielded = true
	q.remove(index)
	q.shed = append(q.shed, t)
}

// popHopeless returns the oldest statement of a class, while no slot is free, if the statements of more urgent
// classes and open transactions that arrived after it leave too little time. Its caller learns that before the
// deadline.
func (q *Queue) popHopeless(now time.Time) (Ticket, Result) {
	if len(q.classes) < 2 {
		return Ticket{}, None
	}
	for _, c := range q.classes {
		if c.oldest == noNode || c.service.samples < minSamples {
			continue
		}
		n := &q.nodes[c.oldest]
		if n.ticket.Deadline.IsZero() || !q.isHopeless(now, n) {
			continue
		}
		t := n.ticket
		q.remove(c.oldest)
		return t, Late
	}
	return Ticket{}, None
}

// isHopeless reports whether the statements that certainly run before a waiting one, other than those of its own
// class, leave too little time.
func (q *Queue) isHopeless(now time.Time, n *node) bool {
	c := n.flow.class
	if c.isLate(now, n.ticket.Deadline) {
		return true
	}
	budget := q.budget(now, c, n.ticket.Deadline)
	if q.totalWork()-c.meanWork() <= budget {
		return false
	}
	if budget -= q.transactionWork(budget); c.untilReserved(n.flow.cost()) <= budget {
		return false
	}
	return q.urgentWork(c, budget) > budget
}
