package admission

import "time"

// minServiceRatio is the share of the observed mean that waiting statements are assumed to take at least, so
// that a refusal remains correct if service times fall by a quarter.
const minServiceRatio = 0.75

// idleCredit is the number of statements by which an account that used less than its share may run ahead of
// the others. Without it, a second statement shortly after the first waits behind accounts far above their
// share. More than four made little difference in the simulation.
const idleCredit = 4

// minSweep is the number of flows below which idle ones are not looked for. A map of up to eight entries is
// one block of memory, which matters with thousands of queues.
const minSweep = 8

// Queue schedules the statements of one entry VM for one backend server. It never delays a statement while
// fewer than the allowed number run. Accounts that used less than their share may exceed the allowed number
// up to the slots. It is not safe for concurrent use.
type Queue struct {
	policy     Policy
	maxWaiting int
	readShare  float64
	limit      limit
	urgency    bool

	connections      int // Settings.Connections
	connectionsInUse int // may exceed connections after SetConnections

	arrived uint64
	waiting int
	running [numLanes]int

	first     class    // the first class to be used; the only one without Settings.Urgency
	classes   []*class // classes that have been used, the most urgent first; empty without Settings.Urgency
	accounts  int      // flows of all classes
	sweepAt   int      // number of flows at which idle ones are dropped
	freeFlows *flow    // unused flows, linked by next
	shed      []Ticket // dropped in favor of others, to be returned by Pop
	nodes     []node
	freeNodes int32 // unused nodes, linked by next
}

// New returns a fair queue with an adaptive limit and default settings.
func New(slots int) *Queue {
	return NewWith(Settings{Slots: slots})
}

// NewWith returns a queue with the given settings.
func NewWith(s Settings) *Queue {
	q := &Queue{
		policy: s.Policy, maxWaiting: s.MaxWaiting, readShare: clampReadShare(s.ReadShare), limit: newLimit(s.Slots, s.Fixed),
		connections: s.Connections, urgency: s.Urgency, sweepAt: minSweep, freeNodes: noNode,
	}
	if q.maxWaiting <= 0 {
		q.maxWaiting = DefaultMaxWaiting
	}
	q.first.init(q)
	return q
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int) {
	slots = max(slots, 1)
	q.limit.slots = float64(slots)
	q.limit.current = min(q.limit.current, q.limit.slots)
	if q.limit.fixed {
		q.limit.current = q.limit.slots
	}
}

// SetReadShare changes Settings.ReadShare, for a server that became primary or replica.
func (q *Queue) SetReadShare(share float64) {
	q.readShare = clampReadShare(share)
}

// clampReadShare leaves writes a share of at least a tenth.
func clampReadShare(share float64) float64 {
	return min(max(share, 0), 0.9)
}

// Waiting returns the number of queued statements.
func (q *Queue) Waiting() int {
	return q.waiting
}

// Running returns the number of statements that occupy a slot.
func (q *Queue) Running() int {
	return q.running[continuing] + q.running[writing] + q.running[reading]
}

// Allowed returns the current concurrency limit.
func (q *Queue) Allowed() int {
	return q.limit.allowed()
}

// Push queues a ticket. It refuses the ticket if its deadline cannot be met behind the statements that will
// certainly run before it.
func (q *Queue) Push(now time.Time, t Ticket) (Handle, Result) {
	t.Yielded = false
	c := q.class(&t)
	f := c.flow(&t)
	if f.waiting >= q.maxWaiting {
		return Handle{}, Full
	}
	if f.waiting == 0 {
		f.start = max(f.start, c.virtual-idleCredit*f.cost()/f.weight)
	}
	lane := laneOf(&t)
	if len(q.classes) > 1 && !t.Target.IsZero() {
		q.yieldToTarget(now, f, lane, t.Target)
	}
	if !t.Deadline.IsZero() && q.cannotMeet(now, f, lane, t.Deadline) &&
		!q.yieldTo(now, f, lane, t.Deadline) && !q.evictOverdue(now, f, lane, &t) {
		return Handle{}, Late
	}
	return q.add(f, lane, t), Waiting
}

// Cancel withdraws a ticket whose caller left or whose deadline passed. It reports whether the ticket was
// still waiting; if so it never runs.
func (q *Queue) Cancel(p Handle) bool {
	if p.index < 0 || int(p.index) >= len(q.nodes) {
		return false
	}
	n := &q.nodes[p.index]
	if !n.used || n.generation != p.generation {
		return false
	}
	q.remove(p.index)
	return true
}

// Pop returns the next ticket with Admitted or Late, or None. It must be called after each Push and Done
// until it returns None.
func (q *Queue) Pop(now time.Time) (Ticket, Result) {
	if n := len(q.shed); n > 0 {
		t := q.shed[n-1]
		q.shed = q.shed[:n-1]
		return t, Late
	}
	if q.waiting == 0 {
		return Ticket{}, None
	}
	if q.Running() >= int(q.limit.slots) {
		return q.popHopeless(now)
	}
	c, lane, ok := q.next()
	if !ok {
		return Ticket{}, None
	}
	f := c.heaps[lane].entries[0].flow
	if q.Running() >= q.limit.allowed() && f.start >= c.virtual {
		// Above the limit only accounts that used less than their share may run.
		return q.popHopeless(now)
	}
	q.dropOverdue(now, f, lane)
	index := q.pick(now, f, lane)
	t := q.nodes[index].ticket
	if c.isLate(now, t.Deadline) {
		q.remove(index)
		return t, Late
	}
	q.addToMinima(c, phaseOf(lane), f.cost())
	c.charge(f, lane)
	if lane != continuing && q.connections > 0 {
		q.connectionsInUse++
	}
	q.remove(index)
	c.fixHeaps(f)
	q.running[lane]++
	c.running++
	f.running++
	t.flow = f
	return t, Admitted
}

// Done releases the slot of an admitted ticket. The ticket is the one that Pop returned, which saves a
// lookup, or the one that was pushed. elapsed is the time that the statement occupied the slot; failed means
// that the server did not answer.
func (q *Queue) Done(now time.Time, t Ticket, elapsed time.Duration, failed bool) {
	busy := q.waiting > 0 || q.Running() >= q.limit.allowed()
	lane := laneOf(&t)
	q.running[lane] = max(q.running[lane]-1, 0)
	seconds := max(elapsed.Seconds(), 0)
	c, f := q.class(&t), t.flow
	if f == nil {
		f = c.flows[t.Account]
	}
	if f != nil {
		f.running = max(f.running-1, 0)
		f.service.add(seconds)
	}
	c.running = max(c.running-1, 0)
	if !failed {
		c.service.add(now, seconds)
	}
	q.limit.update(now, &c.latency, seconds, failed, busy)
	if c.waiting == 0 && c.running == 0 {
		// A busy period ends. No account carries a debt into the next one, so idle flows can be dropped.
		c.virtual = c.latest
	}
}

func laneOf(t *Ticket) lane {
	switch {
	case t.InTransaction:
		return continuing
	case t.Read:
		return reading
	}
	return writing
}

func phaseOf(lane lane) phase {
	if lane == continuing {
		return transactions
	}
	return others
}

// next selects the lane of the next statement of the class.
func (c *class) next() (lane, bool) {
	if len(c.heaps[continuing].entries) > 0 {
		return continuing, true
	}
	writes, reads := c.heaps[writing].entries, c.heaps[reading].entries
	switch {
	case !c.queue.hasConnection():
		return 0, false
	case len(writes) == 0:
		return reading, len(reads) > 0
	case len(reads) == 0:
		return writing, true
	}
	first := reads[0].less(&writes[0])
	if c.queue.readShare > 0 {
		first = c.laneStart(reading) < c.laneStart(writing)
	}
	if first {
		return reading, true
	}
	return writing, true
}

// laneStart returns the start tag of the next statement of a lane. Reads and writes share the slot time like
// two accounts with the weights ReadShare and 1 - ReadShare.
func (c *class) laneStart(lane lane) float64 {
	return max(c.laneTags[lane], c.laneVirtual)
}

// charge adds the cost of an admitted statement to the start tags of its flow and its lane.
func (c *class) charge(f *flow, lane lane) {
	cost := f.cost()
	c.virtual = max(c.virtual, f.start)
	f.start += cost / f.weight
	c.latest = max(c.latest, f.start)
	readShare := c.queue.readShare
	if readShare <= 0 || lane == continuing {
		return
	}
	share := 1 - readShare
	if lane == reading {
		share = readShare
	}
	c.laneVirtual = c.laneStart(lane)
	c.laneTags[lane] = c.laneVirtual + cost/share
}

// add appends a ticket to its list.
func (q *Queue) add(f *flow, lane lane, t Ticket) Handle {
	index := q.node()
	q.arrived++
	n := &q.nodes[index]
	l := &f.lists[lane]
	*n = node{
		ticket: t, order: q.arrived, flow: f, lane: lane,
		prev: l.tail, next: noNode, generation: n.generation + 1, used: true,
	}
	if l.tail != noNode {
		q.nodes[l.tail].next = index
	} else {
		l.head = index
	}
	l.tail = index
	l.length++
	f.waiting++
	f.class.waiting++
	q.waiting++
	if l.heapIndex == notInHeap {
		f.class.heaps[lane].push(f)
	}
	if q.urgency && lane != continuing {
		f.class.link(index)
	}
	return Handle{index: index, generation: n.generation}
}

func (q *Queue) node() int32 {
	if q.freeNodes == noNode {
		q.nodes = append(q.nodes, node{})
		return int32(len(q.nodes) - 1)
	}
	index := q.freeNodes
	q.freeNodes = q.nodes[index].next
	return index
}

// remove takes a waiting ticket out of its list and restores the heap order of the lane.
func (q *Queue) remove(index int32) {
	n := &q.nodes[index]
	f, l := n.flow, &n.flow.lists[n.lane]
	if q.urgency && n.lane != continuing {
		f.class.unlink(index)
	}
	if l.length == 1 {
		f.class.heaps[n.lane].remove(f)
		l.caughtUp = time.Time{} // an empty list has no overdue statements
	}
	if n.prev != noNode {
		q.nodes[n.prev].next = n.next
	} else {
		l.head = n.next
	}
	if n.next != noNode {
		q.nodes[n.next].prev = n.prev
	} else {
		l.tail = n.prev
	}
	l.length--
	f.waiting--
	f.class.waiting--
	q.waiting--
	if l.heapIndex != notInHeap {
		f.class.heaps[n.lane].fix(f)
	}
	*n = node{next: q.freeNodes, generation: n.generation}
	q.freeNodes = index
}

// fixHeaps restores the heap order after the start tag of a flow increased.
func (c *class) fixHeaps(f *flow) {
	for lane := range numLanes {
		if f.lists[lane].heapIndex != notInHeap {
			c.heaps[lane].fix(f)
		}
	}
}
