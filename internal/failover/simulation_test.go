package failover_test

import (
	"container/heap"
	"fmt"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fault is a set of ways in which an instance fails.
type fault int

const (
	crashed    fault = 1 << iota // the process is down; its log survives
	frozen                       // the process is suspended and keeps its state
	cutControl                   // unreachable from the control VM
	cutEntries                   // unreachable from entry VMs
	cutPeers                     // unreachable from other instances
	lagging                      // replicates slowly
)

// instance simulates a backend server as section 12 of the design describes it.
type instance struct {
	id        string
	faults    fault
	role      string
	term      position.Term
	promised  position.Term
	following string
	records   []int // unique number of each record
	history   position.History
}

func (x *instance) is(f fault) bool { return x.faults&f != 0 }

// has reports whether the log contains a record. Numbers increase along every log.
func (x *instance) has(id int) bool {
	_, ok := slices.BinarySearch(x.records, id)
	return ok
}

func (x *instance) up() bool { return !x.is(crashed | frozen) }

// simulatedAddress returns the address of the instance with an id.
func simulatedAddress(id string) string {
	return "10.0.0.1:" + strconv.Itoa(int(crc32.ChecksumIEEE([]byte(id))%math.MaxUint16)+1)
}

func (x *instance) report() failover.Report {
	r := failover.Report{
		Server: failover.ServerID(x.id), Group: "g", Address: simulatedAddress(x.id), Role: x.role, Term: x.term,
		Offset: position.Offset(len(x.records)), History: slices.Clone(x.history), Promised: x.promised,
	}
	if n := len(x.history); n > 0 {
		r.LastTerm = x.history[n-1].Term
	}
	return r
}

// write is a write that an entry VM waits to acknowledge.
type write struct {
	id       int
	at       position.Position
	storedBy map[string]bool
	started  time.Time
}

// event is a function that is due at a time. Events of equal time run in the order of their sequence.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation simulates one group, its control leader and its entry VMs at the interface of the Coordinator.
type simulation struct {
	t           require.TestingT
	random      *rand.Rand
	now         time.Time
	queue       events
	sequence    int
	loss        float64       // probability of losing an announcement, call, report or status
	jitter      time.Duration // largest random time added to each delay
	state       *controlstate.State
	index       uint64
	coordinator *failover.Coordinator
	leader      int // number of the current control leader; messages to former ones are dropped
	paused      bool
	instances   []*instance
	view        *wire.View           // as the entry VMs received it
	lastStatus  map[string]time.Time // when the entry VMs last received the status of an instance
	pending     []*write
	acked       map[int]bool
	writes      int
	lastAck     time.Time
	gap         time.Duration // longest time between two acknowledgements since it was reset
	primaries   map[position.Term]string
	raised      int
	evacuations *evacuations
}

func newSimulation(t require.TestingT, seed uint64, members, servers int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), now: epoch, state: controlstate.New(), view: &wire.View{},
		lastStatus: map[string]time.Time{}, acked: map[int]bool{}, primaries: map[position.Term]string{}, leader: 1, evacuations: newEvacuations(),
	}
	s.coordinator = failover.New("leader-1")
	s.apply(configurationChange(s.state, &wire.Edit{Edit: &wire.Edit_PutGroup{PutGroup: &wire.Group{
		Name: "g", Members: uint32(members), Slots: 3, Connections: 24}}}))
	for i := range servers {
		s.start(string(rune('a' + i)))
	}
	s.every(50*time.Millisecond, func() {
		if !s.paused {
			s.step(failover.Tick{})
		}
	})
	for e := range 3 {
		entry := fmt.Sprint("entry-", e)
		s.every(500*time.Millisecond, func() { s.reportPrimary(entry) })
	}
	s.every(10*time.Millisecond, s.write)
	return s
}

func configurationChange(b *controlstate.State, e *wire.Edit) *wire.Entry {
	c := &wire.Change{Id: fmt.Sprint("change-", b.Index()), Base: b.Version(), Edits: []*wire.Edit{e}}
	return &wire.Entry{Entry: &wire.Entry_Change{Change: c}}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now.Add(d), s.sequence, do})
}

func (s *simulation) every(d time.Duration, do func()) {
	var again func()
	again = func() { do(); s.after(d, again) }
	s.after(time.Duration(s.random.Int64N(int64(d))), again)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); len(s.queue) > 0 && !s.queue[0].at.After(end); {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// send delivers a message after the delay unless it is lost.
func (s *simulation) send(d time.Duration, do func()) {
	if s.random.Float64() < s.loss {
		return
	}
	if s.jitter > 0 {
		d += time.Duration(s.random.Int64N(int64(s.jitter)))
	}
	s.after(d, do)
}

func (s *simulation) start(id string) {
	x := &instance{id: id, role: "replica"}
	s.instances = append(s.instances, x)
	s.every(500*time.Millisecond, func() {
		if x.up() && !x.is(cutControl) {
			r := x.report()
			s.send(2*time.Millisecond, func() { s.step(failover.Announced{Report: r}) })
		}
	})
	s.every(5*time.Millisecond, func() { s.replicate(x) })
	s.every(5*time.Millisecond, func() { s.status(x) })
}

func (s *simulation) instance(id string) *instance { return s.instanceAt(simulatedAddress(id)) }

// instanceAt returns the instance with an address, or nil.
func (s *simulation) instanceAt(address string) *instance {
	for _, x := range s.instances {
		if simulatedAddress(x.id) == address {
			return x
		}
	}
	return nil
}

// step passes an event to the current leader and performs the effects.
func (s *simulation) step(e failover.Event) {
	if s.paused {
		return
	}
	leader := s.leader
	for _, f := range s.coordinator.Step(s.now, e) {
		switch f := f.(type) {
		case failover.Propose:
			s.after(10*time.Millisecond, func() {
				if leader == s.leader {
					s.apply(f.Entry)
				}
			})
		case failover.Call:
			view, _ := s.state.View("g")
			require.LessOrEqual(s.t, uint64(f.Term), view.GetTerm(), "a call carries a term that is not durable")
			s.deliverCall(leader, f)
		}
	}
}

// deliverCall delivers a call to its instance, and the response to the leader. Calls of former leaders still
// arrive; responses to them are dropped.
func (s *simulation) deliverCall(leader int, c failover.Call) {
	x := s.instance(string(c.Server))
	answered := false
	answer := func(r failover.Report, err error) {
		if !answered && leader == s.leader {
			answered = true
			s.step(failover.CallCompleted{Call: c, Report: r, Err: err})
		}
	}
	s.after(failover.CallTimeout, func() { answer(failover.Report{}, fmt.Errorf("timeout")) })
	s.send(5*time.Millisecond, func() {
		if !x.up() || x.is(cutControl) {
			return
		}
		r, err := s.execute(x, c)
		s.send(5*time.Millisecond, func() { answer(r, err) })
	})
}

func (s *simulation) execute(x *instance, c failover.Call) (failover.Report, error) {
	switch c.Function {
	case failover.Fence:
		if x.promised > c.Term {
			return failover.Report{}, fmt.Errorf("promised %d", x.promised)
		}
		if x.promised < c.Term {
			x.promised, x.role, x.following = c.Term, "fenced", ""
		}
	case failover.Promote:
		if x.promised != c.Term || x.term == c.Term && x.role != "primary" {
			return failover.Report{}, fmt.Errorf("promised %d", x.promised)
		}
		if x.term == c.Term {
			break
		}
		require.NotContains(s.t, s.primaries, c.Term, "two primaries for one term")
		s.primaries[c.Term] = x.id
		x.role, x.term = "primary", c.Term
		x.history = append(x.history, position.Position{Term: c.Term, Offset: position.Offset(len(x.records))})
	case failover.Follow:
		if c.Term < x.promised || x.role == "primary" && x.term == c.Term {
			return failover.Report{}, fmt.Errorf("promised %d", x.promised)
		}
		x.promised, x.role, x.following = c.Term, "replica", c.Primary
		s.replicate(x)
	}
	return x.report(), nil
}

// replicate copies records from the primary that the instance follows. The instance follows the term as soon
// as its log agrees with that of the primary.
func (s *simulation) replicate(x *instance) {
	p := s.instanceAt(x.following)
	if p == nil || !x.up() || !p.up() || (x.faults|p.faults)&cutPeers != 0 {
		return
	}
	if p.role != "primary" || p.term != x.promised || x.role != "replica" {
		return
	}
	agreed := min(len(x.records), len(p.records))
	for agreed > 0 && x.records[agreed-1] != p.records[agreed-1] {
		agreed-- // numbers are unique, so logs that share a record agree up to it
	}
	more := len(p.records) - agreed
	if x.is(lagging) {
		more = min(more, s.random.IntN(2))
	}
	x.records = append(x.records[:agreed], p.records[agreed:agreed+more]...)
	x.term = p.term
	x.history = nil
	for _, h := range p.history {
		if int(h.Offset) <= len(x.records) {
			x.history = append(x.history, h)
		}
	}
}

// apply applies an entry to the control state and notifies the leader and, 5 ms later, the entry VMs.
func (s *simulation) apply(e *wire.Entry) {
	before, _ := s.state.View("g")
	s.index++
	s.state.Apply(s.index, e)
	after, _ := s.state.View("g")
	if after.GetTerm() > before.GetTerm() {
		s.raised++
	}
	if p := e.GetPromoted(); p != nil && before != after {
		x := s.instance(p.GetServer())
		for id := range s.acked {
			require.True(s.t, x.has(id), "the promoted server lacks acknowledged write %d", id)
		}
	}
	s.notify()
	if before != after {
		s.after(5*time.Millisecond, func() { s.view = after })
	}
}

func (s *simulation) notify() {
	c := s.state.Configuration()
	s.step(failover.ConfigurationApplied{Groups: c.GetGroups(), Retired: c.GetRetired()})
	for _, v := range s.state.Views() {
		s.step(failover.ViewApplied{View: s.evacuations.mark(v)})
	}
}

// electLeader replaces the control leader. Entries that the former one proposed and did not commit are lost.
func (s *simulation) electLeader() {
	s.leader++
	s.paused = false
	s.coordinator = failover.New(fmt.Sprint("leader-", s.leader))
	s.notify()
}

// resume continues the paused control leader. It receives the views that were applied during the pause, but
// not the announcements and responses.
func (s *simulation) resume() {
	s.paused = false
	s.notify()
}

// write sends a write to the primary in the view of the entry VMs, unless they queue writes.
func (s *simulation) write() {
	x := s.instance(s.view.GetPrimary())
	if x == nil || s.view.GetPhase() != wire.Phase_PHASE_STEADY {
		return
	}
	s.after(time.Millisecond, func() {
		if !x.up() || x.is(cutEntries) || x.role != "primary" {
			return
		}
		s.writes++
		x.records = append(x.records, s.writes)
		w := &write{id: s.writes, storedBy: map[string]bool{}, started: s.now}
		w.at = position.Position{Term: x.term, Offset: position.Offset(len(x.records))}
		s.pending = append(s.pending, w)
	})
}

// status sends the state of an instance to the entry VMs, which acknowledge writes by it: a majority follows
// exactly the term of the write and has it, or the group is in a later term and the log of the new primary
// contains the write.
func (s *simulation) status(x *instance) {
	if !x.up() || x.is(cutEntries) {
		return
	}
	r := x.report()
	s.send(time.Millisecond, func() {
		s.lastStatus[x.id] = s.now
		if !slices.ContainsFunc(s.view.GetMembers(), func(m *wire.Member) bool { return m.GetServer() == x.id && !m.GetRetired() }) {
			return
		}
		g, _ := s.state.Group("g")
		quorum := max(int(g.GetMembers()), len(s.view.GetMembers()))/2 + 1
		s.pending = slices.DeleteFunc(s.pending, func(w *write) bool {
			if r.Term == w.at.Term && r.Offset >= w.at.Offset {
				w.storedBy[x.id] = true
			}
			listed := slices.ContainsFunc(r.History, func(h position.Position) bool { return h.Term == w.at.Term })
			moved := s.view.GetPrimary() == x.id && s.view.GetPhase() == wire.Phase_PHASE_STEADY &&
				uint64(r.Term) == s.view.GetTerm() && r.Term > w.at.Term && listed && r.History.Contains(w.at)
			if len(w.storedBy) >= quorum || moved {
				s.acknowledge(w)
				return true
			}
			return s.now.Sub(w.started) > 2*time.Second
		})
	})
}

func (s *simulation) acknowledge(w *write) {
	s.acked[w.id] = true
	if !s.lastAck.IsZero() {
		s.gap = max(s.gap, s.now.Sub(s.lastAck))
	}
	s.lastAck = s.now
	v, _ := s.state.View("g")
	if p := s.instance(v.GetPrimary()); p != nil && v.GetPhase() == wire.Phase_PHASE_STEADY {
		require.True(s.t, p.has(w.id), "the current primary lacks acknowledged write %d", w.id)
	}
}

// reportPrimary sends the report of an entry VM on the primary.
func (s *simulation) reportPrimary(entry string) {
	p := s.view.GetPrimary()
	if p == "" {
		return
	}
	silent := s.now.Sub(s.lastStatus[p])
	h := s.view.GetHistory()
	sight := &wire.Sight{Group: "g", Term: h[len(h)-1].GetTerm(), Server: p, Reachable: silent < 300*time.Millisecond, Silent: min(silent, time.Hour).Milliseconds()}
	s.send(2*time.Millisecond, func() { s.step(failover.ReachabilityReported{Entry: entry, Sights: []*wire.Sight{sight}}) })
}
