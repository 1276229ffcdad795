package simulation_test

import (
	"fmt"
	"testing"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/route"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// BenchmarkDecision measures the routing and admission cost of one statement: Choose, Push, Pop and
// Done. 3.1 million client connections over 790 nodes are 3,900 per node, so one queued statement in
// each of the 5,700 queues is beyond the load that a node can receive.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ accounts, databases, waiting int }{{8, 3, 32}, {1000, 1900, 1}, {1000, 1900, 5}} {
		b.Run(fmt.Sprintf("accounts=%d/databases=%d/waiting=%d", size.accounts, size.databases, size.waiting), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			router := route.New(1, route.LeastCost)
			at := position.Position{Term: 1, Offset: 1000}
			tickets := make([]admission.Ticket, size.accounts)
			for i := range tickets {
				tickets[i] = admission.Ticket{Account: admission.AccountID(fmt.Sprintf("account-%04d", i)), Read: true, Deadline: now.Add(time.Hour)}
			}
			candidates := make([][]route.Candidate, size.databases)
			queues := make([]*admission.Queue, size.databases*instances)
			for g := range candidates {
				for i := range instances {
					server := route.ServerID(fmt.Sprintf("group-%04d-%d", g, i))
					router.Observe(now, server, 0, 5*time.Millisecond, false)
					candidates[g] = append(candidates[g], route.Candidate{
						Server: server, Primary: i == 0, Position: at, History: position.History{{Term: 1}}, Slots: 2,
					})
					q := admission.New(2)
					for k := range size.waiting {
						q.Push(now, tickets[(k*7+g)%size.accounts])
					}
					queues[g*instances+i] = q
				}
			}
			request := route.Request{Read: true, Floor: at, MaxAge: route.NoMaxAge, Arrived: now}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				g := i * 31 % size.databases
				choice := router.Choose(now, request, candidates[g])
				q := queues[g*instances+choice.Index]
				q.Push(now, tickets[i*17%size.accounts])
				t, _ := q.Pop(now)
				q.Done(now, t, 5*time.Millisecond, false)
			}
		})
	}
}
