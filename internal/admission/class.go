package admission

import "slices"

// lowerShare is the part of the slot time that is reserved for classes below the most urgent one that waits.
const lowerShare = 0.1

// phase distinguishes the statements of open transactions, which go first, from all others.
type phase uint8

const (
	transactions phase = iota
	others
	numPhases
)

// class is the scheduling state of the statements of one priority. Fairness between client accounts and the
// estimates of service times apply within a class. Without Settings.Urgency there is one class.
type class struct {
	queue    *Queue
	priority uint8
	service  service
	latency  latency

	virtual     float64 // virtual time: start tag of the statement admitted last
	latest      float64 // largest start tag assigned
	waiting     int
	running     int
	laneTags    [numLanes]float64 // start tags of the next write and read, scaled by Settings.ReadShare
	laneVirtual float64           // start tag of the write or read admitted last

	flows map[AccountID]*flow
	heaps [numLanes]heap

	oldest, newest int32 // of the list linked by node.older and node.newer
	listed         int   // length of that list
	// reserve is the slot time that the class is still due from its guaranteed minimum, in seconds. It is not
	// negative: time beyond the minimum does not reduce later claims. It grows only while the class waits and is
	// spent as soon as it covers a statement, so it stays below the cost of two statements.
	reserve [numPhases]float64
}

func (c *class) init(q *Queue) {
	*c = class{queue: q, flows: make(map[AccountID]*flow), oldest: noNode, newest: noNode}
	for i := range c.heaps {
		c.heaps[i] = heap{queue: q, lane: lane(i)}
	}
}

// class returns the class of a ticket, which is created if necessary.
func (q *Queue) class(t *Ticket) *class {
	if !q.urgency {
		return &q.first
	}
	priority := min(t.Priority, MaxPriority)
	for i, c := range q.classes {
		switch {
		case c.priority == priority:
			return c
		case c.priority > priority:
			return q.addClass(i, priority)
		}
	}
	return q.addClass(len(q.classes), priority)
}

func (q *Queue) addClass(at int, priority uint8) *class {
	c := &q.first
	if len(q.classes) > 0 {
		c = new(class)
		c.init(q)
	}
	c.priority = priority
	q.classes = slices.Insert(q.classes, at, c)
	return c
}

// waits reports whether the class has a waiting statement of the phase.
func (c *class) waits(p phase) bool {
	if p == transactions {
		return len(c.heaps[continuing].entries) > 0
	}
	return len(c.heaps[writing].entries)+len(c.heaps[reading].entries) > 0
}

// next selects the class and the lane of the next statement: those of open transactions first.
func (q *Queue) next() (*class, lane, bool) {
	if !q.urgency {
		lane, ok := q.first.next()
		return &q.first, lane, ok
	}
	if c := q.choose(transactions); c != nil {
		return c, continuing, true
	}
	if !q.hasConnection() {
		return nil, 0, false
	}
	c := q.choose(others)
	if c == nil {
		return nil, 0, false
	}
	lane, ok := c.next()
	return c, lane, ok
}

// choose returns the class that is served next in a phase, or nil if none waits: the first class whose
// guaranteed minimum covers its next statement, otherwise the most urgent one.
func (q *Queue) choose(p phase) *class {
	var top *class
	for _, c := range q.classes {
		switch {
		case !c.waits(p):
		case top == nil:
			top = c
		case c.reserve[p] >= c.nextCost(p):
			return c
		}
	}
	return top
}

// nextCost returns the cost of the statement of the phase that the class would run next.
func (c *class) nextCost(p phase) float64 {
	lane, ok := continuing, true
	if p == others {
		lane, ok = c.next()
	}
	if !ok {
		return c.service.expected()
	}
	return c.heaps[lane].entries[0].flow.cost()
}

// addToMinima adds slot time to the reserves of the classes that wait below the most urgent one, in equal parts, and
// takes it from the reserve of the class that uses it.
func (q *Queue) addToMinima(user *class, p phase, cost float64) {
	if len(q.classes) < 2 {
		return
	}
	below := q.countBelow(p, nil)
	top := true
	for _, c := range q.classes {
		switch {
		case !c.waits(p):
		case top:
			top = false
		default:
			c.reserve[p] += cost * lowerShare / float64(below)
		}
	}
	user.reserve[p] = max(user.reserve[p]-cost, 0)
}

// countBelow returns the number of classes that wait in a phase below the most urgent one that does. The class
// with counts as waiting; nil for none.
func (q *Queue) countBelow(p phase, with *class) int {
	n := 0
	for _, c := range q.classes {
		if c == with || c.waits(p) {
			n++
		}
	}
	return max(n-1, 0)
}

// link appends a statement outside a transaction to the list of its class.
func (c *class) link(index int32) {
	nodes := c.queue.nodes
	nodes[index].older, nodes[index].newer = c.newest, noNode
	if c.newest != noNode {
		nodes[c.newest].newer = index
	} else {
		c.oldest = index
	}
	c.newest = index
	c.listed++
}

// unlink removes a statement from the list of its class.
func (c *class) unlink(index int32) {
	nodes := c.queue.nodes
	older, newer := nodes[index].older, nodes[index].newer
	if older != noNode {
		nodes[older].newer = newer
	} else {
		c.oldest = newer
	}
	if newer != noNode {
		nodes[newer].older = older
	} else {
		c.newest = older
	}
	c.listed--
}
