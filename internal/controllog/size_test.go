package controllog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controllog"
)

// TestStoredRecordsAreBoundedInBytes guards against a log of few but large records that fills the disks of all voters before
// it is compacted, also while voters restart and the group has no majority.
func TestStoredRecordsAreBoundedInBytes(t *testing.T) {
	const snapshotBytes = 256 << 10
	for _, size := range []int{600, 3_000, 40_000, 120_000} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			c := newCluster(t, 7, 3, 0)
			for _, m := range c.machines {
				c.crash(m)
				m.config.SnapshotEvery, m.config.SnapshotBytes = 1_000_000, snapshotBytes
				c.boot(m)
			}
			c.runUntil(10*time.Second, "forming the group", c.fullyReplicated)
			total := 0
			for round := range 60 {
				for range max(30_000/size, 1) {
					c.proposeBytes(size)
					total += size
				}
				m := c.machines[round%3]
				switch round % 7 {
				case 3:
					c.crash(m)
				case 5:
					c.isolate(m, 2*time.Second)
				}
				c.run(100 * time.Millisecond)
				c.boot(c.machines[(round+1)%3])
			}
			for _, m := range c.machines {
				c.boot(m)
			}
			c.runUntil(20*time.Second, "replication", c.fullyReplicated)
			require.Greater(t, total, 6*snapshotBytes)
			for _, m := range c.machines {
				require.LessOrEqual(t, m.mostStored, uint64(3*snapshotBytes), "a log, its largest records, and what is not committed")
			}
		})
	}
}

// isolate cuts a machine off for a while, in which it may lead without a majority.
func (c *cluster) isolate(m *machine, span time.Duration) {
	m.isolated = true
	c.proposeBytes(100_000)
	c.run(span)
	m.isolated = false
}

// TestMessagesAreBoundedInBytes guards against a follower that was cut off and gets all that it lacks in one message, and again
// with each heartbeat: the copies take more memory than the VMs have.
func TestMessagesAreBoundedInBytes(t *testing.T) {
	for _, size := range []int{1_000, 300_000, 1_500_000} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			c := newCluster(t, 7, 3, 0)
			for _, m := range c.machines {
				c.crash(m)
				m.config.SnapshotEvery, m.config.SnapshotBytes = 1_000_000, 1<<30
				c.boot(m)
			}
			c.runUntil(10*time.Second, "forming the group", c.fullyReplicated)
			leader := c.leader()
			require.NotNil(t, leader)
			behind := c.machines[0]
			if behind == leader {
				behind = c.machines[1]
			}
			behind.isolated = true
			lacking := 0
			for lacking < 18_000_000 {
				for range max(300_000/size, 1) {
					c.proposeBytes(size)
					lacking += size
				}
				c.run(50 * time.Millisecond)
			}
			c.sentRecords = 0
			c.maxDelay = 300 * time.Millisecond // each message overtakes others
			behind.isolated = false
			c.runUntil(60*time.Second, "replication", c.fullyReplicated)
			require.LessOrEqual(t, c.mostRecords, uint64(max(controllog.MaxBatchBytes, size+100)))
			require.Less(t, c.sentRecords, uint64(3*lacking), "what a member lacks is sent again only if it was lost")
		})
	}
}
