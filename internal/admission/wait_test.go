package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/admission"
)

// busyQueue returns a queue of four slots, all in use, whose statements take 10 ms.
func busyQueue() (*admission.Queue, time.Time) {
	q := admission.NewWith(admission.Settings{Slots: 4, Fixed: true})
	now := warm(q, "other", ms(10))
	for range 4 {
		q.Push(now, admission.Ticket{Account: "other"})
		q.Pop(now)
	}
	return q, now
}

// TestWaitsOfFreeQueueAreZero guards against statements that are refused although a slot is free, and against an estimate
// without observations.
func TestWaitsOfFreeQueueAreZero(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 4, Fixed: true})
	require.Nil(t, q.Waits(start, "a"))
	now := warm(q, "a", ms(10))
	for range 3 {
		require.Equal(t, []time.Duration{0}, q.Waits(now, "a"))
		q.Push(now, admission.Ticket{Account: "b"})
		q.Pop(now)
	}
	require.Equal(t, []time.Duration{0}, q.Waits(now, "a"))
}

// TestWaitsRespectFairness guards against statements of a light account that are refused because another one surges.
func TestWaitsRespectFairness(t *testing.T) {
	q, now := busyQueue()
	for range 200 {
		q.Push(now, admission.Ticket{Account: "surging"})
	}
	require.InDelta(t, 0.5, q.Waits(now, "surging")[0].Seconds(), 0.02, "200 statements of 10 ms in 4 slots")
	require.Less(t, q.Waits(now, "light")[0], ms(15))
	for range 40 {
		q.Push(now, admission.Ticket{Account: "open", InTransaction: true})
	}
	require.InDelta(t, 0.103, q.Waits(now, "light")[0].Seconds(), 0.01, "statements of open transactions go first")
}

// TestWaitsWithOverdueStatements guards against refusals while a list serves its newest statement first.
func TestWaitsWithOverdueStatements(t *testing.T) {
	q, now := busyQueue()
	for range 100 {
		q.Push(now, admission.Ticket{Account: "a", Target: now.Add(ms(50))})
	}
	require.Greater(t, q.Waits(now, "a")[0], ms(200))
	require.Less(t, q.Waits(now.Add(ms(60)), "a")[0], ms(15))
}

// TestWaitsAreNotExceeded guards against an estimate above what statements wait: they would be refused although there is
// time for them. Statements of several accounts wait, then one more arrives and all run.
func TestWaitsAreNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		q := admission.NewWith(admission.Settings{Slots: slots, Fixed: true})
		now := warm(q, "other", ms(10))
		names := []admission.AccountID{"a", "b", "c", "d"}
		var running []admission.Ticket
		pop := func() {
			for {
				ticket, result := q.Pop(now)
				if result != admission.Admitted {
					return
				}
				running = append(running, ticket)
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "waiting") {
			ticket := admission.Ticket{
				Account: rapid.SampledFrom(names).Draw(t, "account"), Read: rapid.Bool().Draw(t, "read"),
				InTransaction: rapid.IntRange(0, 9).Draw(t, "kind") == 0, Weight: float64(rapid.IntRange(1, 3).Draw(t, "weight")),
			}
			q.Push(now, ticket)
			pop()
		}
		account := rapid.SampledFrom(names).Draw(t, "arriving")
		expected := q.Waits(now, account)[0]
		arrived := now
		q.Push(now, admission.Ticket{Account: account, Read: rapid.Bool().Draw(t, "arrivingRead"), Tag: "probe"})
		for pop(); ; pop() {
			for _, ticket := range running {
				if ticket.Tag == "probe" {
					// Slot time is counted instead of whole statements, of up to three other accounts.
					require.LessOrEqual(t, expected, now.Sub(arrived)+ms(10)+ms(30)/time.Duration(slots))
					return
				}
			}
			now = now.Add(ms(10))
			ended := running
			running = nil
			for _, ticket := range ended {
				q.Done(now, ticket, ms(10), false)
			}
		}
	})
}

// TestWaitsByPriority guards against urgent statements that are refused on arrival because less urgent ones wait.
func TestWaitsByPriority(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 4, Fixed: true, Urgency: true, MaxWaiting: 1000})
	now := start
	for _, priority := range []uint8{0, 2} {
		for range 32 {
			ticket := admission.Ticket{Account: "a", Priority: priority}
			_, result := q.Push(now, ticket)
			require.Equal(t, admission.Waiting, result)
			ticket, result = q.Pop(now)
			require.Equal(t, admission.Admitted, result)
			now = now.Add(ms(10))
			q.Done(now, ticket, ms(10), false)
		}
	}
	for range 204 {
		_, result := q.Push(now, admission.Ticket{Account: "b", Priority: 2})
		require.Equal(t, admission.Waiting, result)
	}
	for range 4 {
		_, result := q.Pop(now)
		require.Equal(t, admission.Admitted, result)
	}
	waits := q.Waits(now, "b")
	require.Len(t, waits, 3)
	require.Less(t, waits[0], ms(15))
	require.Equal(t, waits[0], waits[1], "no statement of priority 1 was seen")
	require.InDelta(t, 0.5, waits[2].Seconds(), 0.02, "200 statements of 10 ms in 4 slots")
}
