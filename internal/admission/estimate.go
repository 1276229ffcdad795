package admission

import (
	"math"
	"time"
)

// isLate reports whether even the fastest observed statement would miss the deadline.
func (c *class) isLate(now time.Time, deadline time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	left := deadline.Sub(now).Seconds()
	if c.service.samples < minSamples {
		return left <= 0
	}
	return left < c.service.floor()
}

// budget returns the slot time that is available until a statement of the class must start to meet a deadline.
// Service times are assumed to fall to minServiceRatio.
func (q *Queue) budget(now time.Time, c *class, deadline time.Time) float64 {
	left := deadline.Sub(now).Seconds() - c.service.floor()
	return left * float64(q.limit.allowed()) / minServiceRatio
}

// cannotMeet reports whether the waiting statements that certainly run before a new one of the flow leave too
// little time. The sum over the flows is computed only if the whole queue would take too long, and stops once
// the time is used up.
func (q *Queue) cannotMeet(now time.Time, f *flow, own lane, deadline time.Time) bool {
	c := f.class
	if c.isLate(now, deadline) {
		return true
	}
	if c.service.samples < minSamples || own == continuing {
		return false
	}
	budget := q.budget(now, c, deadline)
	if q.totalWork() <= budget {
		return false
	}
	if len(q.classes) < 2 {
		return c.ownAhead(f, own, continuing, budget) > budget
	}
	ahead := q.workBefore(f, own, budget)
	return ahead+q.lowerMinimum(c, ahead) > budget
}

// totalWork returns the slot time of all waiting statements at the means of their classes.
func (q *Queue) totalWork() float64 {
	if !q.urgency {
		return q.first.meanWork()
	}
	sum := 0.0
	for _, c := range q.classes {
		sum += c.meanWork()
	}
	return sum
}

func (c *class) meanWork() float64 {
	return float64(c.waiting) * c.service.value
}

// ownAhead returns the slot time of the waiting statements of the class, in the lanes from first on, that certainly
// run before a new one of the flow. The sum is exact up to the limit.
func (c *class) ownAhead(f *flow, own, first lane, limit float64) float64 {
	ahead := float64(f.lists[own].length) * f.cost()
	tag := f.start + ahead/f.weight
	for lane := first; lane < numLanes; lane++ {
		// Waiting reads may be delayed in favor of a write, so they do not certainly run before it.
		if lane == reading && own == writing {
			continue
		}
		if ahead += c.workAhead(lane, f, tag, limit-ahead); ahead > limit {
			break
		}
	}
	return ahead
}

// workAhead returns the slot time of the other flows' waiting statements with start tags below tag, up to the
// budget.
func (c *class) workAhead(lane lane, own *flow, tag, budget float64) float64 {
	sum := 0.0
	for i := range c.heaps[lane].entries {
		f := c.heaps[lane].entries[i].flow
		if f == own {
			continue
		}
		work := float64(f.lists[lane].length) * f.cost()
		if c.queue.policy == Fair && lane != continuing {
			work = min(work, max(tag-f.start, 0)*f.weight)
		}
		if sum += work; sum > budget {
			break
		}
	}
	return sum
}

// workBefore returns the slot time of the statements of open transactions, of more urgent classes, and of the own
// class that certainly run before a new statement of the flow. The sum is exact up to the limit.
func (q *Queue) workBefore(f *flow, own lane, limit float64) float64 {
	c := f.class
	ahead := c.ownAhead(f, own, writing, limit)
	return q.transactionWork(limit) + min(ahead+q.urgentWork(c, limit), c.untilReserved(ahead+f.cost()))
}

// transactionWork returns the slot time of the waiting statements of open transactions.
func (q *Queue) transactionWork(limit float64) float64 {
	sum := 0.0
	for _, c := range q.classes {
		if sum <= limit {
			sum += c.workAhead(continuing, nil, 0, limit-sum)
		}
	}
	return sum
}

// urgentWork returns the slot time of the waiting statements outside transactions in classes above c.
func (q *Queue) urgentWork(c *class, limit float64) float64 {
	sum := 0.0
	for _, x := range q.classes {
		if x == c {
			break
		}
		for _, lane := range []lane{writing, reading} {
			if sum <= limit {
				sum += x.workAhead(lane, nil, math.Inf(1), limit-sum)
			}
		}
	}
	return sum
}

// untilReserved returns the slot time after which the guaranteed minimum of the class covers some work at the
// earliest: when no other class shares it.
func (c *class) untilReserved(work float64) float64 {
	return max(work-c.reserve[others], 0) / lowerShare
}

// lowerMinimum returns the slot time that the guaranteed minimum certainly gives to classes below c before a
// statement of c, while ahead is used by others. The classes between c and the most urgent one that waits have
// their parts of the minimum.
func (q *Queue) lowerMinimum(c *class, ahead float64) float64 {
	part := lowerShare / float64(max(q.countBelow(others, c), 1))
	sum := 0.0
	for i := len(q.classes) - 1; q.classes[i] != c; i-- {
		x := q.classes[i]
		// The minimum is used in whole statements, so one is not certain.
		due := x.reserve[others] + ahead*part/(1-lowerShare) - x.service.expected()
		sum += min(x.listedWork(), max(due, 0))
	}
	return sum
}

// listedWork returns the slot time of the waiting statements outside transactions.
func (c *class) listedWork() float64 {
	return float64(c.listed) * c.service.value
}
