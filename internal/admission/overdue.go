package admission

import "time"

const (
	// lifoDuration is how long a list serves its newest statement first after one became overdue.
	lifoDuration = 500 * time.Millisecond
	// dropAfter is how long a statement must have been overdue, and the list must always have had others that
	// are not, before it is dropped.
	dropAfter = 100 * time.Millisecond
)

// pick returns the statement of a list that runs next: the first that can meet its target, or the last such
// one within lifoDuration of an overdue statement, or the head if all are overdue. Under lasting overload,
// order of arrival would run each statement just when it becomes late.
func (q *Queue) pick(now time.Time, f *flow, lane lane) int32 {
	l := &f.lists[lane]
	if q.isOverdue(now, f, &q.nodes[l.head].ticket) {
		l.lastOverdue = now
	}
	from, step := l.head, func(n *node) int32 { return n.next }
	if !l.lastOverdue.IsZero() && now.Sub(l.lastOverdue) < lifoDuration {
		from, step = l.tail, func(n *node) int32 { return n.prev }
	}
	for index := from; index != noNode; index = step(&q.nodes[index]) {
		if !q.isOverdue(now, f, &q.nodes[index].ticket) {
			return index
		}
	}
	l.caughtUp = now
	return l.head
}

// dropOverdue drops overdue statements that will not run, because for dropAfter there have always been others
// that can meet their targets.
func (q *Queue) dropOverdue(now time.Time, f *flow, lane lane) {
	l := &f.lists[lane]
	if l.caughtUp.IsZero() {
		l.caughtUp = now
	}
	for l.length > 1 && lane != continuing && now.Sub(l.caughtUp) >= dropAfter {
		head := q.nodes[l.head].ticket
		last := q.nodes[l.tail].ticket
		if head.Target.IsZero() || now.Sub(head.Target) < dropAfter || q.isOverdue(now, f, &last) {
			return
		}
		q.remove(l.head)
		q.shed = append(q.shed, head)
	}
}

// isOverdue reports whether a statement that starts now would be answered after its target.
func (q *Queue) isOverdue(now time.Time, f *flow, t *Ticket) bool {
	return !t.Target.IsZero() && now.Add(time.Duration(f.cost()*float64(time.Second))).After(t.Target)
}

// evictOverdue drops the head of the list if it is overdue, to make room for a new statement that is not.
func (q *Queue) evictOverdue(now time.Time, f *flow, lane lane, t *Ticket) bool {
	if t.Target.IsZero() || q.isOverdue(now, f, t) || f.lists[lane].length == 0 {
		return false
	}
	head := f.lists[lane].head
	oldest := q.nodes[head].ticket
	if !q.isOverdue(now, f, &oldest) {
		return false
	}
	q.remove(head)
	q.shed = append(q.shed, oldest)
	return true
}
