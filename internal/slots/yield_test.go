package slots_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/slots"
)

// TestYieldedWithRefusal guards against statements that yielded to one that was refused nevertheless and do not learn it:
// their callers would wait beyond their deadlines until another statement ends.
func TestYieldedWithRefusal(t *testing.T) {
	work := []time.Duration{3 * time.Millisecond, 9 * time.Millisecond, 15 * time.Millisecond}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := slots.New(admission.Settings{Slots: 2, Fixed: true, Urgency: true})
		now := time.Unix(1000, 0)
		var waiting, running []*slots.Ticket
		push := func(deadline time.Duration) {
			one := ticket(string(rune('a' + random.IntN(3))))
			one.Priority = uint8(random.IntN(len(work)))
			one.Deadline = now.Add(deadline)
			one.Target = now.Add(deadline / time.Duration(1+random.IntN(3)))
			switch s.Push(now, one) {
			case admission.Admitted:
				running = append(running, one)
			case admission.Waiting:
				waiting = append(waiting, one)
			}
		}
		for range 600 {
			now = now.Add(time.Duration(random.IntN(4)) * time.Millisecond)
			if len(running) > 0 && random.IntN(3) == 0 {
				one := running[0]
				running = running[1:]
				s.Release(now, one.Ticket, work[one.Priority], false)
			} else {
				push(time.Duration(5+random.IntN(300)) * time.Millisecond)
			}
			still := waiting[:0]
			for _, one := range waiting {
				switch {
				case !one.HasResult():
					still = append(still, one)
				case slots.Await[struct{}](s, one, nil) == admission.Admitted:
					running = append(running, one)
				}
			}
			waiting = still
			_, queued := s.Load()
			require.Len(t, waiting, queued, "seed %d", seed)
		}
	}
}
