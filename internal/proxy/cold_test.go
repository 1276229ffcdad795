package proxy_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	coldRate  = 40
	coldStart = 8 * time.Second
)

// coldConfiguration has a route for reads up to 1.5 s old and one for current data.
func coldConfiguration(rate float64) *wire.Configuration {
	return &wire.Configuration{
		Groups: []*wire.Group{{Name: "g", Connections: 40, Warmup: rate, Start: coldStart.Milliseconds()}},
		Routes: []*wire.Route{{Name: "aged", Group: "g", Open: true, Age: 1500}, {Name: "current", Group: "g", Open: true}},
	}
}

func newMember(server, zone string) *wire.Member {
	return &wire.Member{Server: server, Zone: zone, Address: "127.0.0.1:1" + server[len(server)-1:], Born: 1, Sequence: 1, Slots: 5}
}

// requireColdBound checks that no window of one second has more arrivals than a cold instance may get.
func requireColdBound(t *testing.T, arrivals []proxy.Arrival) {
	first := 0
	for i, a := range arrivals {
		for a.At.Sub(arrivals[first].At) >= time.Second {
			first++
		}
		require.LessOrEqual(t, i-first+1, coldRate*3/2+5, "within one second before %s", a.At)
	}
}

// TestLoadReturnsAfterAnEvacuationWithTheWarmth guards against a zone that gets its full load at once when its evacuation is
// withdrawn, before the first announcement says that its instances are cold; and against reads that fail in the meantime.
func TestLoadReturnsAfterAnEvacuationWithTheWarmth(t *testing.T) {
	a, b := newMember("i-1", "zone"), newMember("i-2", "zone")
	b.Evacuated = true
	s := proxy.NewSimulated(nil, coldConfiguration(coldRate), a, b)
	session := s.Session("aged", "")
	s.Advance(time.Second)
	b = newMember("i-2", "zone")
	s.Update.Views[0].Members = []*wire.Member{a, b}
	s.Apply()
	withdrawn := s.Now
	for n := range 2000 {
		s.Advance(5 * time.Millisecond)
		if n%100 == 0 {
			s.Renew()
		}
		if n == 240 { // 1.2 s after the withdrawal it announces itself
			b = newMember("i-2", "zone")
			b.Sequence, b.Cold = 2, (coldStart - time.Second).Milliseconds()
			s.Update.Views[0].Members = []*wire.Member{a, b}
			s.Apply()
		}
		require.Equal(t, operation.Done, session.Handle(t.Context(), read).Code)
		s.Settle()
	}
	perSecond := make([]int, 10)
	var cold []proxy.Arrival
	for _, arrived := range s.Since("i-2", withdrawn) {
		after := arrived.At.Sub(withdrawn)
		perSecond[min(int(after/time.Second), 9)]++
		if after <= coldStart+200*time.Millisecond {
			cold = append(cold, arrived)
		}
	}
	requireColdBound(t, cold)
	require.Less(t, perSecond[3], coldRate*3/4, perSecond)
	require.Greater(t, perSecond[7], coldRate*3/4, perSecond)
	require.Greater(t, perSecond[9], 150, "warm: the reads of one second are 200; %v", perSecond)
}

// TestColdPrimaryRefusesAtOnce guards against writes that wait for a cold primary, and against commits that are refused there.
func TestColdPrimaryRefusesAtOnce(t *testing.T) {
	a := newMember("i-1", "zone")
	a.Cold = coldStart.Milliseconds()
	s := proxy.NewSimulated(nil, coldConfiguration(coldRate), a)
	writer, other := s.Session("current", ""), s.Session("current", "")
	refused := writer.Handle(t.Context(), write)
	require.Equal(t, operation.Busy, refused.Code)
	require.Regexp(t, `come back in [\d.]+m?s .*group g`, refused.Detail)
	require.Empty(t, s.Arrivals, "owner for less than 3 s")
	for range 8 {
		s.Advance(500 * time.Millisecond)
		s.Renew()
	}
	require.Equal(t, operation.Done, other.Handle(t.Context(), operation.Statement{Kind: operation.Begin, Text: "begin"}).Code)
	require.Equal(t, operation.Done, other.Handle(t.Context(), write).Code)
	codes := map[operation.Code]int{}
	for range 50 {
		codes[writer.Handle(t.Context(), write).Code]++
	}
	require.Greater(t, codes[operation.Busy], 30)
	require.Positive(t, codes[operation.Done])
	require.Equal(t, operation.Done, other.Handle(t.Context(), write).Code)
	require.Equal(t, operation.Done, other.Handle(t.Context(), operation.Statement{Kind: operation.Commit, Text: "commit"}).Code)
	requireColdBound(t, s.Arrivals)

	s.Advance(2600 * time.Millisecond)
	arrived := len(s.Arrivals)
	require.Equal(t, operation.Busy, writer.Handle(t.Context(), write).Code)
	require.Len(t, s.Arrivals, arrived, "a VM without a configuration lease may not have heard of another owner")
	s.Renew()
	s.Advance(time.Second)
	require.Equal(t, operation.Busy, writer.Handle(t.Context(), write).Code, "another VM may have been the owner until now")
	s.Advance(2 * time.Second)
	s.Renew()
	require.Equal(t, operation.Done, writer.Handle(t.Context(), write).Code)
}

// TestColdInstanceWithoutARateIsServed guards against a limit in a deployment that configures none.
func TestColdInstanceWithoutARateIsServed(t *testing.T) {
	a := newMember("i-1", "zone")
	a.Cold = coldStart.Milliseconds()
	s := proxy.NewSimulated(nil, coldConfiguration(0), a)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 300 {
		require.Equal(t, operation.Done, s.Session("current", "").Handle(ctx, write).Code)
	}
}

// TestOnlyTheOwnerSendsToAColdInstance guards against a VM that sends statements of its own while the owner does not answer.
func TestOnlyTheOwnerSendsToAColdInstance(t *testing.T) {
	a := newMember("i-1", "zone")
	a.Cold = coldStart.Milliseconds()
	s := proxy.NewSimulated(nil, coldConfiguration(coldRate), a)
	s.Update.Entered = 2
	s.Update.Entries = []*wire.Registration{{Entry: "o", Process: "other", Forward: "127.0.0.1:1", Zone: "zone"}}
	s.Apply()
	for range 10 {
		s.Advance(500 * time.Millisecond)
		s.Renew()
		require.Equal(t, operation.Busy, s.Session("current", "").Handle(t.Context(), write).Code)
	}
	require.Empty(t, s.Arrivals)
	warm := newMember("i-1", "zone")
	warm.Sequence = 2
	s.Update.Views[0].Members = []*wire.Member{warm}
	s.Apply()
	require.Equal(t, operation.Done, s.Session("current", "").Handle(t.Context(), write).Code)
}
