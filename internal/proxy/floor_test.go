package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/proxy"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// movedSite is an entry VM with the groups g and h and a route that moves between them. In each a replica has only a part of
// the log.
type movedSite struct {
	*proxy.Simulated
	version uint64
	views   []*wire.View
}

func newMovedSite() *movedSite {
	first := &wire.Member{Server: "g-1", Address: "10.0.0.1:1", Zone: "zone", Born: 1, Slots: 3}
	s := &movedSite{Simulated: proxy.NewSimulated(nil, &wire.Configuration{Groups: []*wire.Group{{Name: "g", Connections: 40}}}, first), version: 1}
	s.views = []*wire.View{
		{Group: "g", Term: 1, Primary: "g-1", Members: []*wire.Member{first, {Server: "g-2", Address: "10.0.0.2:1", Zone: "zone", Born: 1, Slots: 3}}},
		{Group: "h", Term: 1, Primary: "h-1", Members: []*wire.Member{
			{Server: "h-1", Address: "10.0.1.1:1", Zone: "zone", Born: 1, Slots: 3}, {Server: "h-2", Address: "10.0.1.2:1", Zone: "zone", Born: 1, Slots: 3},
		}},
	}
	return s
}

// move puts a configuration in force in which the route "r" leads to a group, and which has the groups.
func (s *movedSite) move(group string, groups ...string) {
	s.version++
	u := s.Update
	u.Version, u.Views = s.version, nil
	u.Full = &wire.Configuration{Version: s.version, Routes: []*wire.Route{{Name: "r", Group: group, Open: true, Timeout: 300, Age: 2500}}}
	for _, v := range s.views {
		for _, name := range groups {
			if v.GetGroup() == name {
				u.Full.Groups = append(u.Full.Groups, &wire.Group{Name: name, Connections: 40})
				u.Views = append(u.Views, &wire.View{Group: name, Term: 1, Primary: v.GetPrimary(), Members: v.GetMembers(), Revision: 10 * s.version})
			}
		}
	}
	s.Apply()
	s.Renew()
}

func at(offset uint64) position.Position {
	return position.Position{Term: 1, Offset: position.Offset(offset)}
}

// TestFloorsBelongToGroups guards against a session that reads without its own commit, or is refused as lagging until its next
// commit, since its route was at another group in between: positions of different groups say nothing of each other.
func TestFloorsBelongToGroups(t *testing.T) {
	both := []string{"g", "h"}
	for name, c := range map[string]struct {
		logs   map[string]position.Position
		away   []string // groups of the configuration while the route is at h
		commit []operation.Statement
	}{
		"other log shorter":               {map[string]position.Position{"g-1": at(411), "g-2": at(400), "h-1": at(5), "h-2": at(5)}, both, []operation.Statement{write}},
		"other log longer":                {map[string]position.Position{"g-1": at(11), "g-2": at(5), "h-1": at(500), "h-2": at(400)}, both, []operation.Statement{write}},
		"group left the configuration":    {map[string]position.Position{"g-1": at(411), "g-2": at(400), "h-1": at(5), "h-2": at(5)}, both[1:], []operation.Statement{write}},
		"commit of an earlier route's tx": {map[string]position.Position{"g-1": at(411), "g-2": at(400), "h-1": at(5), "h-2": at(5)}, both, []operation.Statement{begin, write, commit}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newMovedSite()
			s.Logs = c.logs
			s.move("g", both...)
			session := s.Session("r", "")
			handle := func(st operation.Statement) {
				require.Equal(t, operation.Done, session.Handle(t.Context(), st).Code, "%s", st.Text)
			}
			handle(read) // from here on a position of before the commit is recent enough
			s.Advance(time.Second)
			last := len(c.commit) - 1
			for _, st := range c.commit[:last] {
				handle(st)
			}
			if last > 0 {
				s.move("h", c.away...)
			}
			handle(c.commit[last])
			own := c.logs["g-1"]
			s.move("h", c.away...)
			handle(write)
			s.move("g", both...)
			from := len(s.Arrivals)
			for range 20 {
				handle(read)
			}
			seen := 0
			for _, a := range s.Arrivals[from:] {
				if a.Text == read.Text {
					require.False(t, a.After.Less(own), "a read at %s must see %v, not only %v", a.Server, a.After, own)
					seen++
				}
			}
			require.Positive(t, seen)
		})
	}
}
