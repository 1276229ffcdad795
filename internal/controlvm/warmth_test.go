package controlvm_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestWarmUpIsRecordedOnChange guards against a log entry for each announcement of a cold instance, and against entry VMs that
// take an instance for warm that has become cold again, also when the leader changes or an entry is lost.
func TestWarmUpIsRecordedOnChange(t *testing.T) {
	now, sequence := time.Unix(1000, 0), uint64(0)
	c := &controlvm.ColdRecord{Known: &wire.Member{Server: "i", Born: 7}}
	c.ChangeLeader()
	announce := func(left time.Duration, lost bool) {
		now, sequence = now.Add(1200*time.Millisecond), sequence+1
		c.Announce(now, &wire.Member{Server: "i", Born: 7, Sequence: sequence, Cold: left.Milliseconds()}, lost)
	}
	warmUp := func(from time.Duration) {
		for left := from; left > 0; left -= 1200 * time.Millisecond {
			announce(left+time.Duration(sequence%3)*400*time.Millisecond, false) // some announcements are delayed
		}
	}
	announce(0, false)
	require.Zero(t, c.Entries, "it has always been warm")
	warmUp(12 * time.Second)
	require.Equal(t, 1, c.Entries)
	announce(0, false)
	require.Equal(t, 2, c.Entries, "it has become warm")
	announce(12*time.Second, true)
	require.Equal(t, 2, c.Entries)
	announce(10800*time.Millisecond, false)
	require.Equal(t, 3, c.Entries, "the entry before was lost")
	announce(12*time.Second, false)
	require.Equal(t, 4, c.Entries, "it has become cold again without a restart")
	require.EqualValues(t, 12000, c.Known.GetCold())
	c.ChangeLeader()
	announce(10800*time.Millisecond, false)
	require.Equal(t, 5, c.Entries, "the new leader does not know when it becomes warm")
	warmUp(9600 * time.Millisecond)
	require.Equal(t, 5, c.Entries)
	c.Known.Evacuated = true
	for range 10 {
		announce(12*time.Second, false)
	}
	require.Equal(t, 5, c.Entries, "nothing is sent to an evacuated instance, which stays cold")
	c.Known.Evacuated = false
	announce(12*time.Second, false)
	require.Equal(t, 6, c.Entries)
}
