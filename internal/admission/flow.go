package admission

import "time"

// lane is a class of statements with its own scheduling rule.
type lane uint8

const (
	continuing lane = iota
	writing
	reading
	numLanes
)

const (
	noNode    int32 = -1 // not in Queue.nodes
	notInHeap int   = -1 // not in a heap
)

// node is a waiting ticket in the list of its flow and lane.
type node struct {
	ticket     Ticket
	order      uint64 // of arrival
	flow       *flow
	lane       lane
	prev, next int32
	// older and newer link the waiting statements of a class outside transactions in order of arrival. They are
	// used only with Settings.Urgency.
	older, newer int32
	generation   uint32
	used         bool
}

// ticketList is the list of waiting tickets of one flow and lane, in order of arrival.
type ticketList struct {
	head, tail  int32
	length      int
	heapIndex   int       // index in the heap of the lane, or notInHeap
	lastOverdue time.Time // when an overdue statement was last found at the head; zero if never
	caughtUp    time.Time // since when the list has always had statements that are not overdue; zero while it is empty
}

// flow is the scheduling state of one client account in one class.
type flow struct {
	account AccountID
	class   *class
	weight  float64
	// start is the start tag of the next statement, in seconds of slot time per weight. All lanes share it,
	// so that an account gains nothing by mixing reads and writes.
	start   float64
	waiting int
	running int
	service mean
	lists   [numLanes]ticketList
	next    *flow // in the list of unused flows
}

// heapWidth is the number of children of a heap entry. Four make the heap half as deep as two, and the keys
// of siblings share a cache line.
const heapWidth = 4

// entry stores the key next to the flow, so that a comparison does not load the flow.
type entry struct {
	start float64
	order uint64
	flow  *flow
}

// heap orders the flows that wait in one lane by start tag, and equal ones by arrival. Under FIFO all start
// tags are 0.
type heap struct {
	queue   *Queue
	lane    lane
	entries []entry
}

func (e *entry) less(x *entry) bool {
	if e.start != x.start {
		return e.start < x.start
	}
	return e.order < x.order
}

// key returns the heap entry of a flow that waits in the lane.
func (h *heap) key(f *flow) entry {
	e := entry{flow: f, order: h.queue.nodes[f.lists[h.lane].head].order}
	if h.queue.policy == Fair {
		e.start = f.start
	}
	return e
}

func (h *heap) push(f *flow) {
	h.entries = append(h.entries, entry{})
	h.up(len(h.entries)-1, h.key(f))
}

func (h *heap) remove(f *flow) {
	i, last := f.lists[h.lane].heapIndex, len(h.entries)-1
	moved := h.entries[last]
	h.entries[last] = entry{}
	h.entries = h.entries[:last]
	f.lists[h.lane].heapIndex = notInHeap
	if i != last {
		h.settle(i, moved)
	}
}

// fix restores the order after the key of a flow changed.
func (h *heap) fix(f *flow) {
	h.settle(f.lists[h.lane].heapIndex, h.key(f))
}

// settle inserts an entry at index i and moves it up or down to restore the heap order.
func (h *heap) settle(i int, e entry) {
	if i > 0 && e.less(&h.entries[(i-1)/heapWidth]) {
		h.up(i, e)
		return
	}
	h.down(i, e)
}

func (h *heap) up(i int, e entry) {
	for i > 0 {
		parent := (i - 1) / heapWidth
		if !e.less(&h.entries[parent]) {
			break
		}
		h.put(i, h.entries[parent])
		i = parent
	}
	h.put(i, e)
}

func (h *heap) down(i int, e entry) {
	for {
		first := heapWidth*i + 1
		if first >= len(h.entries) {
			break
		}
		least := first
		for child := first + 1; child < min(first+heapWidth, len(h.entries)); child++ {
			if h.entries[child].less(&h.entries[least]) {
				least = child
			}
		}
		if !h.entries[least].less(&e) {
			break
		}
		h.put(i, h.entries[least])
		i = least
	}
	h.put(i, e)
}

func (h *heap) put(i int, e entry) {
	h.entries[i] = e
	e.flow.lists[h.lane].heapIndex = i
}
