package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestLeavingCountsFromLastContact guards against an entry VM that was frozen while an instance announced that it leaves, and
// then sends it work for the whole time that it may have from the announcement on.
func TestLeavingCountsFromLastContact(t *testing.T) {
	for name, c := range map[string]struct {
		frozen time.Duration
		served bool
	}{"frozen": {3400 * time.Millisecond, false}, "in contact": {500 * time.Millisecond, true}} {
		t.Run(name, func(t *testing.T) {
			m := &wire.Member{Server: "a", Address: "10.0.0.1:1", Zone: "zone", Born: 1, Slots: 3}
			s := proxy.NewSimulated(nil, &wire.Configuration{
				Groups: []*wire.Group{{Name: "g", Connections: 40}}, Routes: []*wire.Route{{Name: "r", Group: "g", Open: true, Timeout: 300}},
			}, m)
			session := s.Session("r", "")
			wait := func(d time.Duration) {
				s.Advance(d)
				s.Contact()
				s.Renew()
			}
			for range 10 {
				wait(500 * time.Millisecond)
			}
			s.Advance(c.frozen)
			leaving := proto.CloneOf(m)
			leaving.Leaving = true
			s.Update.Views[0].Members = []*wire.Member{leaving}
			s.Apply()
			for range 8 {
				wait(500 * time.Millisecond)
			}
			arrived := len(s.Arrivals)
			a := session.Handle(t.Context(), write)
			require.Equal(t, c.served, a.Code == operation.Done, a.Detail)
			require.Equal(t, c.served, len(s.Arrivals) > arrived)
		})
	}
}
