package controlvm_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// processor returns the CPU time that the process has used, client and server together.
func processor(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAnnounce reports the CPU time of one announcement of a backend server, client and server
// included, for docs/CAPACITY.md.
func BenchmarkAnnounce(b *testing.B) {
	s := newTestVM(b)
	s.start()
	body := []byte(`{"server":"ledger-0001-1","group":"ledger-0001","address":"10.1.2.3:5432","zone":"a","role":"replica",` +
		`"term":3,"last_term":3,"pos":120034,"history":"1/0,2/100,3/9000","promised":3,"primary":"ledger-0001-0","slots":2,"connections":36}`)
	url := "http://" + s.options.Control.Announce + "/announce"
	before := processor(b)
	for b.Loop() {
		response, err := http.Post(url, "application/json", bytes.NewReader(body))
		require.NoError(b, err)
		require.NoError(b, response.Body.Close())
	}
	b.ReportMetric(float64(processor(b)-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(len(body)), "bytes")
}

// BenchmarkRenew reports the CPU time of one renewal, client and server included, by the number of database
// groups that the entry VM serves, with 8 active accounts.
func BenchmarkRenew(b *testing.B) {
	for _, groups := range []int{3, 9, 27} {
		b.Run(fmt.Sprint("groups=", groups), func(b *testing.B) {
			s := newTestVM(b)
			s.start()
			conn, err := controlvm.Dial(s.options.Control.Listen, nil)
			require.NoError(b, err)
			defer conn.Close()
			control := wire.NewControlClient(conn)
			r := &wire.RenewRequest{Registration: &wire.Registration{Entry: "3f2a9c5d7e1b4a60", Name: "entry-417", Zone: "a"}}
			for g := range groups {
				name := fmt.Sprintf("ledger-%04d", g)
				r.Sights = append(r.Sights, &wire.Sight{Group: name, Term: 3, Server: name + "-0", Reachable: true})
				for i := range 3 {
					r.Needs = append(r.Needs, &wire.Need{Server: fmt.Sprint(name, "-", i), Want: 2, Held: 2})
				}
			}
			for a := range 8 {
				r.Demands = append(r.Demands, &wire.Demand{Account: fmt.Sprint("account-", a), Want: 3, Held: 17})
			}
			before := processor(b)
			for b.Loop() {
				r.Sequence++
				reply, err := control.Renew(context.Background(), r)
				require.NoError(b, err)
				r.Term = reply.Term
			}
			b.ReportMetric(float64(processor(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}
