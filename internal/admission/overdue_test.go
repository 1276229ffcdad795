package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/admission"
)

// backlog is the load after an outage: statements of one account that are all overdue, then new ones at three
// quarters of the capacity of one slot.
type backlog struct {
	late, fresh, inTime, refused int
}

const (
	serviceTime     = 20 * time.Millisecond
	targetLatency   = 100 * time.Millisecond
	clientTimeout   = time.Second
	arrivalInterval = 27 * time.Millisecond
)

// play runs the load on one slot and counts the new statements that are answered in time.
func (b *backlog) play(target bool) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true})
	now := warm(q, "a", serviceTime)
	type call struct{ arrived time.Time }
	push := func(arrived time.Time) {
		t := admission.Ticket{Account: "a", Read: true, Deadline: now.Add(clientTimeout), Tag: call{arrived}}
		if target {
			t.Target = arrived.Add(targetLatency)
		}
		if _, result := q.Push(now, t); result != admission.Waiting {
			b.refused++
		}
	}
	start := now
	for range b.late {
		push(start.Add(-time.Second))
	}
	next := now
	for now.Sub(start) < 4*time.Second {
		for !next.After(now) && b.fresh < 100 {
			push(next)
			b.fresh++
			next = next.Add(arrivalInterval)
		}
		t, result := q.Pop(now)
		switch result {
		case admission.Admitted:
			now = now.Add(serviceTime)
			q.Done(now, t, serviceTime, false)
			if c := t.Tag.(call); !c.arrived.Before(start) && now.Sub(c.arrived) <= targetLatency {
				b.inTime++
			}
		case admission.None:
			now = now.Add(time.Millisecond)
		}
	}
}

// TestBacklogDoesNotMakeAllLate guards against an outage after which every statement is late until the
// backlog is worked off.
func TestBacklogDoesNotMakeAllLate(t *testing.T) {
	first := &backlog{late: 40}
	first.play(false)
	second := &backlog{late: 40}
	second.play(true)
	require.GreaterOrEqual(t, second.inTime, 90, "new statements answered in time, of 100")
	require.Less(t, first.inTime, second.inTime, "in order of arrival alone")
}

// TestOverdueIsEvicted guards against refusing a new statement because of waiting statements that are overdue
// in any case.
func TestOverdueIsEvicted(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true})
	now := warm(q, "a", serviceTime)
	for i := range 100 {
		q.Push(now, admission.Ticket{Account: "a", Read: true, Deadline: now.Add(clientTimeout), Target: now.Add(-time.Second), Tag: i})
	}
	_, result := q.Push(now, admission.Ticket{Account: "a", Read: true, Deadline: now.Add(clientTimeout), Target: now.Add(targetLatency), Tag: "new"})
	require.Equal(t, admission.Waiting, result)
	ticket, result := q.Pop(now)
	require.Equal(t, admission.Late, result)
	require.Equal(t, 0, ticket.Tag, "the one that waited longest gives way")
	ticket, result = q.Pop(now)
	require.Equal(t, admission.Admitted, result)
	require.Equal(t, "new", ticket.Tag)
}

// Plays an account at one and a half times the capacity of a slot for 4 s. Guards against statements that
// each run just when they become late, and against refusals at the deadline of statements that could have
// been refused long before.
func TestLastingOverloadServesInTime(t *testing.T) {
	const (
		arrive = 13 * time.Millisecond
		length = 4 * time.Second
	)
	works := []time.Duration{8 * time.Millisecond, 45 * time.Millisecond, 12 * time.Millisecond, 15 * time.Millisecond} // 20 ms on average
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true})
	now := warm(q, "a", serviceTime)
	start, next := now, now
	inTime, ran := 0, 0
	var longestWait time.Duration // longest wait before a refusal
	for now.Sub(start) < length {
		for !next.After(now) {
			q.Push(now, admission.Ticket{Account: "a", Read: true, Deadline: next.Add(clientTimeout), Target: next.Add(targetLatency), Tag: next})
			next = next.Add(arrive)
		}
		ticket, result := q.Pop(now)
		arrived, _ := ticket.Tag.(time.Time)
		switch result {
		case admission.Admitted:
			work := works[ran%len(works)]
			ran++
			now = now.Add(work)
			q.Done(now, ticket, work, false)
			if now.Sub(arrived) <= targetLatency {
				inTime++
			}
		case admission.Late:
			longestWait = max(longestWait, now.Sub(arrived))
		case admission.None:
			now = now.Add(time.Millisecond)
		}
	}
	require.GreaterOrEqual(t, inTime, ran*9/10, "in time, of those that ran")
	require.Less(t, longestWait, clientTimeout/2)
}
