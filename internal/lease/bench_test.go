package lease_test

import (
	"fmt"
	"testing"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

func benchConfiguration(accounts int) *wire.Configuration {
	c := &wire.Configuration{Groups: []*wire.Group{{Name: "g", Members: 3, Connections: 24}}}
	for i := range accounts {
		c.Accounts = append(c.Accounts, &wire.Account{Name: fmt.Sprintf("account-%04d", i), Rate: 1000, Burst: 2000})
	}
	return c
}

// BenchmarkHolderTake admits statements of accounts in turn.
func BenchmarkHolderTake(b *testing.B) {
	for _, accounts := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			h := lease.NewHolder()
			reply := &wire.RenewReply{Leader: true, Sequence: 1}
			var names []lease.AccountID
			for _, a := range benchConfiguration(accounts).GetAccounts() {
				names = append(names, lease.AccountID(a.GetName()))
				h.Take(epoch, names[len(names)-1], 1)
				reply.Credits = append(reply.Credits, &wire.Credit{Account: a.GetName(), Amount: 1e12})
			}
			h.Grant(epoch, epoch, reply)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				h.Take(epoch, names[i], 1)
				if i++; i == len(names) {
					i = 0
				}
			}
		})
	}
}

// BenchmarkIssuerRenew serves requests in which every account has demand, from entry VMs in turn.
func BenchmarkIssuerRenew(b *testing.B) {
	for _, size := range []struct{ accounts, entries int }{{8, 10}, {100, 100}, {1000, 10}, {1000, 790}} {
		b.Run(fmt.Sprintf("accounts=%d/entries=%d", size.accounts, size.entries), func(b *testing.B) {
			c := benchConfiguration(size.accounts)
			i := lease.NewIssuer(epoch, c, nil)
			view := &wire.View{Group: "g", Members: []*wire.Member{{Server: "x"}, {Server: "y"}, {Server: "z"}}}
			i.Configure(epoch, c, []*wire.View{view})
			requests := make([]*wire.RenewRequest, size.entries)
			for e := range requests {
				r := &wire.RenewRequest{Registration: &wire.Registration{Entry: fmt.Sprint("entry-", e)}}
				for _, a := range c.GetAccounts() {
					r.Demands = append(r.Demands, &wire.Demand{Account: a.GetName(), Want: 1, Held: 1})
				}
				for _, m := range view.GetMembers() {
					r.Needs = append(r.Needs, &wire.Need{Server: m.GetServer(), Want: 2, Held: 1})
				}
				requests[e] = r
			}
			now, next := epoch, 0
			b.ReportAllocs()
			for b.Loop() {
				r := requests[next%size.entries]
				r.Sequence++
				for _, d := range r.GetDemands() {
					d.Spent++
				}
				now = now.Add(500 * time.Millisecond / time.Duration(size.entries))
				i.Renew(now, r)
				next++
			}
		})
	}
}
