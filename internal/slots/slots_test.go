package slots_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

func ticket(account string) *slots.Ticket {
	t := slots.NewTicket()
	t.Ticket = admission.Ticket{Account: admission.AccountID(account)}
	return t
}

// Guards against a slot that stays occupied after its statement ended.
func TestReleaseAdmitsNext(t *testing.T) {
	s := slots.New(admission.Settings{Slots: 1, Fixed: true})
	now := time.Now()
	first, second := ticket("a"), ticket("b")
	require.Equal(t, admission.Admitted, s.Push(now, first))
	require.Equal(t, admission.Waiting, s.Push(now, second))
	s.Release(now, first.Ticket, time.Millisecond, false)
	require.Equal(t, admission.Admitted, slots.Await[struct{}](s, second, nil))
	running, waiting := s.Load()
	require.Equal(t, 1, running)
	require.Zero(t, waiting)
}

// Guards against a slot that is lost because a statement is admitted after its session gave up.
func TestAwaitCancelsTicket(t *testing.T) {
	s := slots.New(admission.Settings{Slots: 1, Fixed: true})
	now := time.Now()
	first, second := ticket("a"), ticket("b")
	require.Equal(t, admission.Admitted, s.Push(now, first))
	require.Equal(t, admission.Waiting, s.Push(now, second))
	done := make(chan struct{})
	close(done)
	require.Equal(t, admission.Late, slots.Await(s, second, done))
	s.Release(now, first.Ticket, time.Millisecond, false)
	running, waiting := s.Load()
	require.Zero(t, running)
	require.Zero(t, waiting)
}

// Guards against a slot that is lost when a statement is admitted while its session gives up.
func TestNoSlotIsLost(t *testing.T) {
	s := slots.New(admission.Settings{Slots: 2, Fixed: true})
	var sessions sync.WaitGroup
	for range 16 {
		sessions.Go(func() {
			one := ticket("a")
			for range 200 {
				result := s.Push(time.Now(), one)
				if result == admission.Waiting {
					result = slots.Await(s, one, time.After(50*time.Microsecond))
				}
				if result == admission.Admitted {
					s.Release(time.Now(), one.Ticket, time.Microsecond, false)
				}
			}
		})
	}
	sessions.Wait()
	running, waiting := s.Load()
	require.Zero(t, running)
	require.Zero(t, waiting)
}

// Guards against a statement that yielded and is counted as one that was late by itself.
func TestYieldedReachesTheWaiter(t *testing.T) {
	s := slots.New(admission.Settings{Slots: 1, Fixed: true, Urgency: true})
	now := time.Unix(1000, 0)
	push := func(priority uint8, target time.Duration) (*slots.Ticket, admission.Result) {
		one := ticket("a")
		one.Priority = priority
		if target > 0 {
			one.Target = now.Add(target)
		}
		return one, s.Push(now, one)
	}
	for i := range 40 {
		one, result := push(uint8(i%2), 0)
		require.Equal(t, admission.Admitted, result)
		s.Release(now, one.Ticket, 10*time.Millisecond, false)
	}
	running, _ := push(0, 0)
	less, result := push(1, 5*time.Millisecond) // late in any case
	require.Equal(t, admission.Waiting, result)
	for range 40 {
		push(0, 0)
	}
	_, result = push(0, 312*time.Millisecond) // of which those ahead take 300
	require.Equal(t, admission.Waiting, result)
	require.Equal(t, admission.Late, slots.Await[struct{}](s, less, nil))
	require.True(t, less.Yielded)
	require.False(t, running.Yielded)
}
