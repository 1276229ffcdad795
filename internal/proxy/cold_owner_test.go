package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
)

// TestColdPrimaryInAZoneWithoutEntryVMs guards against a cold primary that no entry VM may send to until it is warm, because no
// entry VM of its availability zone is left.
func TestColdPrimaryInAZoneWithoutEntryVMs(t *testing.T) {
	a := newMember("i-1", "elsewhere")
	a.Cold = coldStart.Milliseconds()
	s := proxy.NewSimulated(nil, coldConfiguration(coldRate), a)
	session := s.Session("current", "")
	done := 0
	for range 12 { // 6 s of the 8 s in which it is cold
		s.Advance(500 * time.Millisecond)
		s.Renew()
		if session.Handle(t.Context(), write).Code == operation.Done {
			done++
		}
	}
	require.Positive(t, done)
}

// TestIdleTransactionsLeaveUnitsOfAColdPrimary guards against idle transactions that keep so many units of a cold primary that
// no other one can begin until they end, although the instance gets nothing.
func TestIdleTransactionsLeaveUnitsOfAColdPrimary(t *testing.T) {
	a := newMember("i-1", "zone")
	a.Cold = coldStart.Milliseconds()
	s := proxy.NewSimulated(nil, coldConfiguration(coldRate), a)
	pass := func(d time.Duration) {
		for range d / (500 * time.Millisecond) {
			s.Advance(500 * time.Millisecond)
			s.Renew()
		}
	}
	pass(4 * time.Second)
	for n := range 3 {
		session := s.Session("current", "")
		session.Handle(t.Context(), operation.Statement{Kind: operation.Begin, Text: "begin"})
		require.Equal(t, operation.Done, session.Handle(t.Context(), write).Code, "transaction %d", n)
		pass(time.Second) // 20 units or more
	}
}
