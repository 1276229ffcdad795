package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/freshness"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

var epoch = time.Unix(1000, 0)

func at(term, offset uint64) position.Position {
	return position.Position{Term: position.Term(term), Offset: position.Offset(offset)}
}

// TestFloorHoldsOldCommits guards against a read that misses a commit older than its stated age: for any
// history of commits, proofs and failovers, the floor is not below such a commit of the same term.
func TestFloorHoldsOldCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker freshness.Tracker
		type commit struct {
			when time.Time
			at   position.Position
		}
		var commits []commit
		now, end := epoch, at(1, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				end.Offset++
				commits = append(commits, commit{now, end})
			case 2, 3:
				sent := now
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "way")) * time.Millisecond)
				tracker.Observe(sent, end)
			case 4:
				if rapid.IntRange(0, 9).Draw(t, "failover") == 0 {
					end.Term++
				}
			}
			age := time.Duration(rapid.IntRange(100, 3000).Draw(t, "age")) * time.Millisecond
			floor, ok := tracker.Floor(now, age)
			for _, c := range commits {
				if ok && c.at.Term == floor.Term && now.Sub(c.when) > age {
					require.LessOrEqual(t, c.at.Offset, floor.Offset)
				}
			}
		}
	})
}

// TestFloorNeedsProof guards against a floor without a reply of the primary within the age.
func TestFloorNeedsProof(t *testing.T) {
	var tracker freshness.Tracker
	_, ok := tracker.Floor(epoch, time.Second)
	require.False(t, ok)
	tracker.Observe(epoch, at(1, 5))
	_, ok = tracker.Floor(epoch.Add(2*time.Second), time.Second)
	require.False(t, ok)
}

// TestEffectiveFloorAfterFailover guards against a session that waits forever for a commit that was lost.
func TestEffectiveFloorAfterFailover(t *testing.T) {
	var tracker freshness.Tracker
	tracker.Observe(epoch, at(1, 50))
	require.Equal(t, at(1, 60), tracker.EffectiveFloor(at(1, 60)))
	tracker.Observe(epoch.Add(time.Second), at(2, 40))
	require.Equal(t, at(2, 40), tracker.EffectiveFloor(at(1, 60)))
}
