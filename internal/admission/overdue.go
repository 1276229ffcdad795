package admission

import "time"

const (
	// lifoDuration is how long a line counts as behind after a statement of it was late for its caller.
	lifoDuration = 500 * time.Millisecond
	// dropAfter is how long a statement that is late for its caller waits for a moment without others, and
	// how long there must have been none.
	dropAfter = 100 * time.Millisecond
)

// pick returns the next statement of a line: the first one that is not late for its caller, or the last
// such one while the line is behind, or else the first. Behind, in order of arrival each statement would run
// just when it is late.
func (q *Queue) pick(now time.Time, f *flow, lane lane) int32 {
	l := &f.lines[lane]
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

// dropOverdue takes out the statements of a line that are late for their callers and will not run: for some
// time there were always others that are not late.
func (q *Queue) dropOverdue(now time.Time, f *flow, lane lane) {
	l := &f.lines[lane]
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

// isOverdue reports whether a statement that starts now is answered after its target.
func (q *Queue) isOverdue(now time.Time, f *flow, t *Ticket) bool {
	return !t.Target.IsZero() && now.Add(time.Duration(q.cost(f)*float64(time.Second))).After(t.Target)
}

// evictOverdue drops the first statement of the line that is late for its caller, in favor of a new one
// that is not.
func (q *Queue) evictOverdue(now time.Time, f *flow, lane lane, t *Ticket) bool {
	if t.Target.IsZero() || q.isOverdue(now, f, t) || f.lines[lane].length == 0 {
		return false
	}
	head := f.lines[lane].head
	oldest := q.nodes[head].ticket
	if !q.isOverdue(now, f, &oldest) {
		return false
	}
	q.remove(head)
	q.shed = append(q.shed, oldest)
	return true
}
