package wire_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// renewal returns a request, and its reply, of an entry VM that serves the given number of groups of
// three servers and has the given number of active accounts.
func renewal(groups, accounts int) (*wire.RenewRequest, *wire.RenewReply) {
	r := &wire.RenewRequest{
		Registration: &wire.Registration{Entry: "3f2a9c5d7e1b4a60", Name: "entry-417", Zone: "pnw-west-2"},
		Sequence:     1 << 20, Version: 1 << 20,
	}
	reply := &wire.RenewReply{Leader: true, Version: 1 << 20, Sequence: 1 << 20, Lease: 2500, Expiry: 2000}
	for g := range groups {
		for i := range 3 {
			name := fmt.Sprintf("ledger-%04d-%d", g, i)
			r.Needs = append(r.Needs, &wire.Need{Server: name, Want: 2, Held: 2})
			reply.Budgets = append(reply.Budgets, &wire.Budget{Server: name, Connections: 2})
		}
		r.Sights = append(r.Sights, &wire.Sight{
			Group: fmt.Sprintf("ledger-%04d", g), Term: 12, Server: fmt.Sprintf("ledger-%04d-0", g), Reachable: true, Silent: 40,
		})
	}
	for a := range accounts {
		name := fmt.Sprintf("account-%04d", a)
		r.Demands = append(r.Demands, &wire.Demand{Account: name, Want: 3, Held: 17, Spent: 1e7, Returned: 1e5})
		reply.Credits = append(reply.Credits, &wire.Credit{Account: name, Amount: 12})
	}
	return r, reply
}

// BenchmarkRenewSize reports the size in bytes of one renewal, for the control traffic budget in
// docs/CAPACITY.md.
func BenchmarkRenewSize(b *testing.B) {
	for _, n := range []struct{ groups, accounts int }{{3, 8}, {9, 8}, {27, 8}, {27, 32}, {27, 128}} {
		b.Run(fmt.Sprintf("groups=%d/accounts=%d", n.groups, n.accounts), func(b *testing.B) {
			r, reply := renewal(n.groups, n.accounts)
			for b.Loop() {
				_, err := proto.Marshal(r)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(proto.Size(r)), "request-bytes")
			b.ReportMetric(float64(proto.Size(reply)), "reply-bytes")
		})
	}
}

// BenchmarkBookSize reports the size in bytes of the full state that an entry VM receives at start.
func BenchmarkBookSize(b *testing.B) {
	for _, n := range []struct{ groups, accounts int }{{3, 8}, {27, 100}, {270, 300}, {1900, 1000}} {
		b.Run(fmt.Sprintf("groups=%d/accounts=%d", n.groups, n.accounts), func(b *testing.B) {
			u := &wire.Update{Full: &wire.Configuration{Version: 1}}
			for a := range n.accounts {
				u.Full.Accounts = append(u.Full.Accounts, &wire.Account{
					Name: fmt.Sprintf("account-%04d", a), Rate: 100, Burst: 50, Weight: 1,
					Keys: []*wire.Key{{Name: "main", Verifier: verifier}, {Name: "next", Verifier: verifier}},
				})
			}
			for g := range n.groups {
				name := fmt.Sprintf("ledger-%04d", g)
				u.Full.Groups = append(u.Full.Groups, &wire.Group{Name: name, Members: 3, Slots: 2, Connections: 36})
				u.Full.Routes = append(u.Full.Routes, &wire.Route{Name: name, Group: name, Database: name, Accounts: []string{"account-0001"}})
				v := &wire.View{Group: name, Term: 3, Primary: name + "-0", Revision: 1 << 20,
					History: []*wire.Start{{Term: 1}, {Term: 2, Offset: 1 << 20}, {Term: 3, Offset: 1 << 21}}}
				for i := range 3 {
					v.Members = append(v.Members, &wire.Member{Server: fmt.Sprintf("%s-%d", name, i), Address: "10.20.30.40:5432", Zone: "sk-west-1"})
				}
				u.Views = append(u.Views, v)
			}
			for b.Loop() {
				_, err := proto.Marshal(u)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(proto.Size(u)), "bytes")
		})
	}
}

const verifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="
