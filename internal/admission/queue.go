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
	service    service

	connections      int // Settings.Connections
	connectionsInUse int // may exceed connections after SetConnections

	virtual     float64 // virtual time: start tag of the statement admitted last
	latest      float64 // largest start tag assigned
	arrived     uint64
	waiting     int
	running     [numLanes]int
	laneTags    [numLanes]float64 // start tags of the next write and read, scaled by Settings.ReadShare
	laneVirtual float64           // start tag of the write or read admitted last

	flows     map[AccountID]*flow
	sweepAt   int   // number of flows at which idle ones are dropped
	freeFlows *flow // unused flows, linked by next
	heaps     [numLanes]heap
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
		connections: s.Connections, flows: make(map[AccountID]*flow), sweepAt: minSweep, freeNodes: noNode,
	}
	if q.maxWaiting <= 0 {
		q.maxWaiting = DefaultMaxWaiting
	}
	for i := range q.heaps {
		q.heaps[i] = heap{queue: q, lane: lane(i)}
	}
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
	f := q.flow(&t)
	if f.waiting >= q.maxWaiting {
		return Handle{}, Full
	}
	if f.waiting == 0 {
		f.start = max(f.start, q.virtual-idleCredit*q.cost(f)/f.weight)
	}
	lane := laneOf(&t)
	if !t.Deadline.IsZero() && q.cannotMeet(now, f, lane, t.Deadline) && !q.evictOverdue(now, f, lane, &t) {
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
	if q.waiting == 0 || q.Running() >= int(q.limit.slots) {
		return Ticket{}, None
	}
	lane, ok := q.next()
	if !ok {
		return Ticket{}, None
	}
	f := q.heaps[lane].entries[0].flow
	if q.Running() >= q.limit.allowed() && f.start >= q.virtual {
		// Above the limit only accounts that used less than their share may run.
		return Ticket{}, None
	}
	q.dropOverdue(now, f, lane)
	index := q.pick(now, f, lane)
	t := q.nodes[index].ticket
	if q.isLate(now, t.Deadline) {
		q.remove(index)
		return t, Late
	}
	q.charge(f, lane)
	if lane != continuing && q.connections > 0 {
		q.connectionsInUse++
	}
	q.remove(index)
	q.fixHeaps(f)
	q.running[lane]++
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
	f := t.flow
	if f == nil {
		f = q.flows[t.Account]
	}
	if f != nil {
		f.running = max(f.running-1, 0)
		f.service.add(seconds)
	}
	if !failed {
		q.service.add(now, seconds)
	}
	q.limit.update(now, seconds, failed, busy)
	if q.waiting == 0 && q.Running() == 0 {
		// A busy period ends. No account carries a debt into the next one, so idle flows can be dropped.
		q.virtual = q.latest
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

// next selects the lane of the next statement.
func (q *Queue) next() (lane, bool) {
	if len(q.heaps[continuing].entries) > 0 {
		return continuing, true
	}
	writes, reads := q.heaps[writing].entries, q.heaps[reading].entries
	switch {
	case !q.hasConnection():
		return 0, false
	case len(writes) == 0:
		return reading, len(reads) > 0
	case len(reads) == 0:
		return writing, true
	}
	first := reads[0].less(&writes[0])
	if q.readShare > 0 {
		first = q.laneStart(reading) < q.laneStart(writing)
	}
	if first {
		return reading, true
	}
	return writing, true
}

// laneStart returns the start tag of the next statement of a lane. Reads and writes share the slot time like
// two accounts with the weights ReadShare and 1 - ReadShare.
func (q *Queue) laneStart(lane lane) float64 {
	return max(q.laneTags[lane], q.laneVirtual)
}

// charge adds the cost of an admitted statement to the start tags of its flow and its lane.
func (q *Queue) charge(f *flow, lane lane) {
	cost := q.cost(f)
	q.virtual = max(q.virtual, f.start)
	f.start += cost / f.weight
	q.latest = max(q.latest, f.start)
	if q.readShare <= 0 || lane == continuing {
		return
	}
	share := 1 - q.readShare
	if lane == reading {
		share = q.readShare
	}
	q.laneVirtual = q.laneStart(lane)
	q.laneTags[lane] = q.laneVirtual + cost/share
}

// cost returns the slot time charged for a statement of the flow, in seconds.
func (q *Queue) cost(f *flow) float64 {
	if f.service.samples >= minSamples {
		return f.service.value
	}
	return q.service.expected()
}

// isLate reports whether even the fastest observed statement would miss the deadline.
func (q *Queue) isLate(now time.Time, deadline time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	left := deadline.Sub(now).Seconds()
	if q.service.samples < minSamples {
		return left <= 0
	}
	return left < q.service.floor()
}

// cannotMeet reports whether the waiting statements that certainly run before a new one of the flow leave too
// little time. The sum over the flows is computed only if the whole queue would take too long, and stops once
// the time is used up.
func (q *Queue) cannotMeet(now time.Time, f *flow, own lane, deadline time.Time) bool {
	if q.isLate(now, deadline) {
		return true
	}
	if q.service.samples < minSamples || own == continuing {
		return false
	}
	left := deadline.Sub(now).Seconds() - q.service.floor()
	budget := left * float64(q.limit.allowed()) / minServiceRatio
	if float64(q.waiting)*q.service.value <= budget {
		return false
	}
	tag := f.start + float64(f.lists[own].length)*q.cost(f)/f.weight
	budget -= float64(f.lists[own].length) * q.cost(f)
	for lane := range numLanes {
		// Waiting reads may be delayed in favor of a write, so they do not certainly run before it.
		if lane == reading && own == writing {
			continue
		}
		if budget -= q.workAhead(lane, f, tag, budget); budget < 0 {
			return true
		}
	}
	return budget < 0
}

// workAhead returns the slot time of the other flows' waiting statements with start tags below tag, up to the
// budget.
func (q *Queue) workAhead(lane lane, own *flow, tag, budget float64) float64 {
	sum := 0.0
	for i := range q.heaps[lane].entries {
		f := q.heaps[lane].entries[i].flow
		if f == own {
			continue
		}
		work := float64(f.lists[lane].length) * q.cost(f)
		if q.policy == Fair && lane != continuing {
			work = min(work, max(tag-f.start, 0)*f.weight)
		}
		if sum += work; sum > budget {
			break
		}
	}
	return sum
}

// flow returns the flow of the ticket's client account and updates its weight.
func (q *Queue) flow(t *Ticket) *flow {
	f := q.flows[t.Account]
	if f == nil {
		if len(q.flows) >= q.sweepAt {
			q.dropIdle()
		}
		f = q.newFlow(t.Account)
		q.flows[t.Account] = f
	}
	if t.Weight > 0 {
		f.weight = t.Weight
	}
	return f
}

// newFlow returns a new or recycled flow.
func (q *Queue) newFlow(account AccountID) *flow {
	f := q.freeFlows
	if f == nil {
		f = new(flow)
	} else {
		q.freeFlows = f.next
	}
	*f = flow{account: account, weight: 1}
	for i := range f.lists {
		f.lists[i] = ticketList{head: noNode, tail: noNode, heapIndex: notInHeap}
	}
	return f
}

// dropIdle removes flows without statements and debt. It runs when the number of flows has grown by half, so
// that its cost is spread over the additions.
func (q *Queue) dropIdle() {
	for account, f := range q.flows {
		if f.waiting == 0 && f.running == 0 && f.start <= q.virtual {
			delete(q.flows, account)
			f.next = q.freeFlows
			q.freeFlows = f
		}
	}
	q.sweepAt = max(len(q.flows)+len(q.flows)/2, minSweep)
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
	q.waiting++
	if l.heapIndex == notInHeap {
		q.heaps[lane].push(f)
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
	if l.length == 1 {
		q.heaps[n.lane].remove(f)
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
	q.waiting--
	if l.heapIndex != notInHeap {
		q.heaps[n.lane].fix(f)
	}
	*n = node{next: q.freeNodes, generation: n.generation}
	q.freeNodes = index
}

// fixHeaps restores the heap order after the start tag of a flow increased.
func (q *Queue) fixHeaps(f *flow) {
	for lane := range numLanes {
		if f.lists[lane].heapIndex != notInHeap {
			q.heaps[lane].fix(f)
		}
	}
}
