package failover_test

import (
	"fmt"
	"testing"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// newBenchmark returns a Coordinator of healthy groups with three members each, and their announcements.
func newBenchmark(groups int) (*failover.Coordinator, []failover.Announced) {
	c := failover.New("bench")
	configured := failover.ConfigurationApplied{}
	var reports []failover.Announced
	for i := range groups {
		configured.Groups = append(configured.Groups, &wire.Group{Name: fmt.Sprint("group-", i), Members: 3})
	}
	c.Step(epoch, configured)
	for _, g := range configured.Groups {
		v := &wire.View{Group: g.GetName(), Term: 1, History: []*wire.Start{{Term: 1}}}
		for m, role := range []string{"primary", "replica", "replica"} {
			server := fmt.Sprint(g.GetName(), "-", m)
			v.Members = append(v.Members, &wire.Member{Server: server, Address: server})
			reports = append(reports, failover.Announced{Report: failover.Report{
				Server: failover.ServerID(server), Group: failover.GroupID(g.GetName()), Address: server, Role: role,
				Term: 1, LastTerm: 1, Offset: 100, History: position.History{{Term: 1}},
			}})
		}
		v.Primary = v.Members[0].Server
		c.Step(epoch, failover.ViewApplied{View: v})
	}
	for _, r := range reports {
		c.Step(epoch, r)
	}
	return c, reports
}

func benchmark(b *testing.B, event func(c *failover.Coordinator, reports []failover.Announced, i int) failover.Event) {
	for _, groups := range []int{3, 190, 1900} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			c, reports := newBenchmark(groups)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				// The time is constant, so that no primary times out.
				c.Step(epoch.Add(time.Millisecond), event(c, reports, i))
				i++
			}
		})
	}
}

// BenchmarkCoordinatorTick measures one tick for all groups.
func BenchmarkCoordinatorTick(b *testing.B) {
	benchmark(b, func(*failover.Coordinator, []failover.Announced, int) failover.Event { return failover.Tick{} })
}

func BenchmarkCoordinatorAnnounced(b *testing.B) {
	benchmark(b, func(_ *failover.Coordinator, reports []failover.Announced, i int) failover.Event {
		return reports[i%len(reports)]
	})
}

// BenchmarkCoordinatorReachabilityReported measures one report of an entry VM on all groups.
func BenchmarkCoordinatorReachabilityReported(b *testing.B) {
	sights := map[int][]*wire.Sight{}
	benchmark(b, func(_ *failover.Coordinator, reports []failover.Announced, _ int) failover.Event {
		if sights[len(reports)] == nil {
			for i := 0; i < len(reports); i += 3 {
				r := reports[i].Report
				sights[len(reports)] = append(sights[len(reports)], &wire.Sight{Group: string(r.Group), Term: 1, Server: string(r.Server), Reachable: true})
			}
		}
		return failover.ReachabilityReported{Entry: "entry", Sights: sights[len(reports)]}
	})
}
