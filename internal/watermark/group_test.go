package watermark_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

var start = time.Unix(1000, 0)

func at(term, offset uint64) position.Position {
	return position.Position{Term: position.Term(term), Offset: position.Offset(offset)}
}

func after(d time.Duration) time.Time {
	return start.Add(d)
}

// group returns a group of a (primary), b and c in term 1.
func group() *watermark.Group {
	g := watermark.New()
	g.Step(start, watermark.ViewChanged{
		Term: 1, History: position.History{at(1, 0)}, Primary: "a", Members: []watermark.ServerID{"c", "b", "a"}, Count: 3,
	})
	return g
}

func answer(s watermark.ServerID, round watermark.RoundID, role watermark.Role, follows uint64, p position.Position, h position.History) watermark.StatusReceived {
	return watermark.StatusReceived{Server: s, Round: round, Report: watermark.Report{Role: role, Follows: position.Term(follows), At: p, History: h}}
}

var first = position.History{at(1, 0)}

// Guards against a floor from a round that was sent before the session connected, or from a minority.
func TestFloorNeedsLaterRoundAndMajority(t *testing.T) {
	g := group()
	effects := g.Step(start, watermark.Tick{})
	require.Equal(t, []watermark.Effect{watermark.RequestStatus{Round: 1, Servers: []watermark.ServerID{"a", "b", "c"}}}, effects)
	require.Empty(t, g.Step(after(time.Millisecond), watermark.FloorRequested{Wait: 7}))
	require.Empty(t, g.Step(after(2*time.Millisecond), answer("a", 1, watermark.Primary, 1, at(1, 5), first)))
	effects = g.Step(after(3*time.Millisecond), answer("b", 1, watermark.Replica, 1, at(1, 4), first))
	require.Equal(t, []watermark.Effect{watermark.RequestStatus{Round: 2, Servers: []watermark.ServerID{"a", "b", "c"}}}, effects)
	require.Empty(t, g.Step(after(4*time.Millisecond), answer("c", 2, watermark.Replica, 1, at(1, 6), first)))
	require.Empty(t, g.Step(after(4*time.Millisecond), answer("c", 2, watermark.Replica, 1, at(1, 6), first)), "one member counts once")
	effects = g.Step(after(5*time.Millisecond), answer("b", 2, watermark.Replica, 1, at(1, 5), first))
	require.Equal(t, []watermark.Effect{watermark.FloorResolved{Wait: 7, Floor: at(1, 6)}}, effects)
}

// Guards against an estimated age: data is as old as the latest round whose result it covers.
func TestAgeFollowsCoveredRounds(t *testing.T) {
	g := group()
	g.Step(start, watermark.Tick{})
	g.Step(start, answer("a", 1, watermark.Primary, 1, at(1, 5), first))
	g.Step(start, answer("b", 1, watermark.Replica, 1, at(1, 5), first))
	g.Step(start, answer("c", 1, watermark.Replica, 1, at(1, 3), first))
	fresh := func(i int) time.Time { return g.Members()[i].FreshAsOf }
	require.Equal(t, start, fresh(1))
	require.Zero(t, fresh(2))
	g.Step(after(100*time.Millisecond), watermark.Tick{})
	g.Step(after(101*time.Millisecond), answer("a", 2, watermark.Primary, 1, at(1, 9), first))
	g.Step(after(101*time.Millisecond), answer("b", 2, watermark.Replica, 1, at(1, 7), first))
	require.Equal(t, start, fresh(1), "b does not cover round 2")
	g.Step(after(102*time.Millisecond), watermark.PositionAdvanced{Server: "b", At: at(1, 9)})
	require.Equal(t, after(100*time.Millisecond), fresh(1))
	g.Step(after(103*time.Millisecond), watermark.PositionAdvanced{Server: "c", At: at(1, 6)})
	require.Equal(t, start, fresh(2))
}

// Guards against counting a replica that follows another term than that of the commit, or a fenced one.
func TestConfirmationNeedsExactTerm(t *testing.T) {
	g := group()
	g.Step(start, watermark.Tick{})
	require.Empty(t, g.Step(start, watermark.ConfirmationRequested{Wait: 1, Server: "a", At: at(1, 8)}))
	require.Empty(t, g.Step(start, answer("b", 1, watermark.Fenced, 1, at(1, 8), first)))
	require.Empty(t, g.Step(start, watermark.PositionAdvanced{Server: "c", At: at(2, 8)}))
	require.Empty(t, g.Step(start, watermark.PositionAdvanced{Server: "c", At: at(1, 7)}))
	require.Empty(t, g.Step(start, watermark.PositionAdvanced{Server: "x", At: at(1, 8)}), "no member")
	effects := g.Step(start, watermark.PositionAdvanced{Server: "c", At: at(1, 8)})
	require.Equal(t, []watermark.Effect{watermark.CommitResolved{Wait: 1, Verdict: watermark.Confirmed, At: at(1, 8)}}, effects)

	require.Empty(t, g.Step(start, watermark.ConfirmationRequested{Wait: 2, Server: "a", At: at(1, 9)}))
	effects = g.Step(after(watermark.CommitWait), watermark.Tick{})
	require.Contains(t, effects, watermark.CommitResolved{Wait: 2, Verdict: watermark.Unknown})
}

// resolved returns the resolved commits among effects.
func resolved(effects []watermark.Effect) []watermark.CommitResolved {
	var all []watermark.CommitResolved
	for _, e := range effects {
		if one, ok := e.(watermark.CommitResolved); ok {
			all = append(all, one)
		}
	}
	return all
}

// Guards against an acknowledgement because the new primary alone kept the record: if it is lost before
// others copied it, a later promotion chooses a log without it.
func TestConfirmationAfterFailover(t *testing.T) {
	second := position.History{at(1, 0), at(2, 8)}
	g := group()
	require.Empty(t, resolved(g.Step(start, watermark.ConfirmationRequested{Wait: 1, Server: "a", At: at(1, 8)})))
	g.Step(start, watermark.ViewChanged{Term: 2, History: second, Primary: "a", Members: []watermark.ServerID{"a", "b", "c"}, Count: 3})
	require.Empty(t, resolved(g.Step(start, answer("a", 9, watermark.Primary, 2, at(2, 8), second))))
	require.Empty(t, resolved(g.Step(start, answer("b", 9, watermark.Replica, 2, at(1, 7), first))))
	require.Empty(t, resolved(g.Step(start, answer("c", 9, watermark.Fenced, 2, at(2, 8), second))))
	effects := g.Step(start, answer("b", 9, watermark.Replica, 2, at(2, 8), second))
	require.Equal(t, []watermark.CommitResolved{{Wait: 1, Verdict: watermark.Confirmed, At: at(2, 8)}}, resolved(effects),
		"a log of a term between the two may lack the record and would cover 1/8")
}

// Guards against an acknowledgement that depends on a member which is about to leave the group: the remaining
// members may promote a log without the record.
func TestRetiredMemberConfirmsNothing(t *testing.T) {
	g := group()
	view := watermark.ViewChanged{Term: 1, History: first, Primary: "a", Members: []watermark.ServerID{"a", "b", "c"},
		Retired: []watermark.ServerID{"c"}, Count: 3}
	g.Step(start, view)
	require.Empty(t, resolved(g.Step(start, watermark.ConfirmationRequested{Wait: 1, Server: "a", At: at(1, 8)})))
	require.Empty(t, resolved(g.Step(start, watermark.PositionAdvanced{Server: "c", At: at(1, 8)})))
	require.Len(t, resolved(g.Step(start, watermark.PositionAdvanced{Server: "b", At: at(1, 8)})), 1)
}

// Guards against waiting for a record that the new primary lacks, and against counting it as confirmed
// because the new log is longer.
func TestSupersededCommitIsUnknown(t *testing.T) {
	second := position.History{at(1, 0), at(2, 7)}
	g := group()
	require.Empty(t, resolved(g.Step(start, watermark.ConfirmationRequested{Wait: 1, Server: "a", At: at(1, 8)})))
	g.Step(start, watermark.ViewChanged{Term: 2, History: second, Primary: "b", Members: []watermark.ServerID{"a", "b", "c"}, Count: 3})
	require.Empty(t, resolved(g.Step(start, answer("c", 9, watermark.Replica, 2, at(2, 20), second))))
	effects := g.Step(start, answer("b", 9, watermark.Primary, 2, at(2, 20), second))
	require.Equal(t, []watermark.CommitResolved{{Wait: 1, Verdict: watermark.Unknown}}, resolved(effects))
}

// Guards against a confirmation without a majority of distinct members under the commit's term, for arbitrary
// orders of events.
func TestConfirmationProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := group()
		holds := map[watermark.ServerID]map[uint64]uint64{"a": {}, "b": {}, "c": {}}
		commits := map[watermark.WaitID]position.Position{}
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			s := rapid.SampledFrom([]watermark.ServerID{"a", "b", "c"}).Draw(t, "server")
			term, offset := rapid.Uint64Range(1, 2).Draw(t, "term"), rapid.Uint64Range(1, 5).Draw(t, "offset")
			var effects []watermark.Effect
			if rapid.Bool().Draw(t, "commit") {
				id := watermark.WaitID(i)
				commits[id] = at(term, offset)
				holds["a"][term] = max(holds["a"][term], offset)
				effects = g.Step(now, watermark.ConfirmationRequested{Wait: id, Server: "a", At: at(term, offset)})
			} else {
				holds[s][term] = max(holds[s][term], offset)
				effects = g.Step(now, watermark.PositionAdvanced{Server: s, At: at(term, offset)})
			}
			for _, e := range effects {
				commit, ok := e.(watermark.CommitResolved)
				if !ok || commit.Verdict != watermark.Confirmed {
					continue
				}
				p, n := commits[commit.Wait], 0
				for _, held := range holds {
					if held[uint64(p.Term)] >= uint64(p.Offset) {
						n++
					}
				}
				require.GreaterOrEqual(t, n, 2)
			}
		}
	})
}
