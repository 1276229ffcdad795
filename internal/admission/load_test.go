package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/admission"
)

// The load of section 4 of docs/design/zones-and-demand.md: three classes with equal numbers of statements at 1.7
// times the capacity of four slots for 3 s, after 1 s of half the capacity that is not counted. One of eight accounts
// sends five times as much as each other one.
const (
	loadSlots    = 4
	loadAccounts = 8
	loadSurge    = 5
	loadFactor   = 1.7
	loadWarmUp   = time.Second
	loadLength   = 3 * time.Second
)

// loadClass is a class of callers.
type loadClass struct{ work, target, deadline time.Duration }

var loadClasses = []loadClass{{ms(3), ms(120), ms(600)}, {ms(9), ms(250), ms(600)}, {ms(15), ms(600), ms(1500)}}

// loadStatement is a statement of the load with its outcome.
type loadStatement struct {
	class, account int
	arrived        time.Time
	work           time.Duration
	handle         admission.Handle
	waiting        bool
	started, ended time.Time // zero if it did not run
	results        int
	yielded        bool
}

// makeLoad returns the statements in order of arrival.
func makeLoad(seed uint64) []*loadStatement {
	random := rand.New(rand.NewPCG(seed, 1))
	var out []*loadStatement
	for at := time.Duration(0); at < loadWarmUp+loadLength; {
		factor := loadFactor
		if at < loadWarmUp {
			factor = 0.5
		}
		at += time.Duration(random.ExpFloat64() * float64(ms(9)) / loadSlots / factor) // 9 ms is the mean work
		class := random.IntN(len(loadClasses))
		account := max(random.IntN(loadAccounts+loadSurge-1)-loadSurge+1, 0)
		work := time.Duration((0.5 + random.Float64()) * float64(loadClasses[class].work))
		out = append(out, &loadStatement{class: class, account: account, arrived: start.Add(at), work: work})
	}
	return out
}

// order is an order of waiting statements.
type order interface {
	Push(now time.Time, t admission.Ticket) (admission.Handle, admission.Result)
	Pop(now time.Time) (admission.Ticket, admission.Result)
	Done(now time.Time, t admission.Ticket, elapsed time.Duration, failed bool)
	Cancel(p admission.Handle) bool
}

// plainPriority runs the most urgent statement first, in order of arrival, without a minimum for others.
type plainPriority struct {
	waiting [len(loadClassNames)][]admission.Ticket
	running int
}

func (p *plainPriority) Push(_ time.Time, t admission.Ticket) (admission.Handle, admission.Result) {
	p.waiting[t.Priority] = append(p.waiting[t.Priority], t)
	return admission.Handle{}, admission.Waiting
}

func (p *plainPriority) Pop(now time.Time) (admission.Ticket, admission.Result) {
	for class, tickets := range p.waiting {
		if len(tickets) == 0 || p.running >= loadSlots {
			continue
		}
		p.waiting[class] = tickets[1:]
		if now.After(tickets[0].Deadline) {
			return tickets[0], admission.Late
		}
		p.running++
		return tickets[0], admission.Admitted
	}
	return admission.Ticket{}, admission.None
}

func (p *plainPriority) Done(time.Time, admission.Ticket, time.Duration, bool) { p.running-- }

func (p *plainPriority) Cancel(admission.Handle) bool { return false }

// loadRun plays a load against a server.
type loadRun struct {
	queue   order
	targets bool // the queue knows the targets
	// frozen and thawed bound a time in which the server answers nothing; it then answers all at once.
	frozen, thawed time.Time
	running        []admission.Ticket // by end
	pushed         [len(loadClassNames)][]*loadStatement
	check          func(now time.Time) // called after each event; nil for none
	refused        func(now time.Time, t admission.Ticket)
}

func (r *loadRun) play(load []*loadStatement) {
	next := 0
	for next < len(load) || len(r.running) > 0 {
		if len(r.running) == 0 || next < len(load) && load[next].arrived.Before(statementOf(r.running[0]).ended) {
			r.arrive(load[next])
			next++
			continue
		}
		t := r.running[0]
		r.running = r.running[1:]
		st := statementOf(t)
		r.expire(st.ended)
		r.queue.Done(st.ended, t, st.ended.Sub(st.started), false)
		r.dispatch(st.ended)
	}
}

func statementOf(t admission.Ticket) *loadStatement { return t.Tag.(*loadStatement) }

// expire withdraws the statements whose deadline has passed.
func (r *loadRun) expire(now time.Time) {
	for class, pushed := range r.pushed {
		for len(pushed) > 0 && now.After(pushed[0].arrived.Add(loadClasses[class].deadline)) {
			if pushed[0].waiting && r.queue.Cancel(pushed[0].handle) {
				pushed[0].waiting = false
				pushed[0].results++
			}
			pushed = pushed[1:]
		}
		r.pushed[class] = pushed
	}
}

func (r *loadRun) arrive(st *loadStatement) {
	r.expire(st.arrived)
	t := admission.Ticket{
		Account: admission.AccountID(fmt.Sprint(st.account)), Read: true, Priority: uint8(st.class),
		Deadline: st.arrived.Add(loadClasses[st.class].deadline), Tag: st,
	}
	if r.targets {
		t.Target = st.arrived.Add(loadClasses[st.class].target)
	}
	handle, result := r.queue.Push(st.arrived, t)
	st.handle, st.waiting = handle, result == admission.Waiting
	r.pushed[st.class] = append(r.pushed[st.class], st)
	if !st.waiting {
		st.results++
		r.observeRefusal(st.arrived, t)
	}
	r.dispatch(st.arrived)
}

func (r *loadRun) dispatch(now time.Time) {
	for {
		t, result := r.queue.Pop(now)
		if result == admission.None {
			break
		}
		st := statementOf(t)
		st.results++
		st.waiting, st.yielded = false, t.Yielded
		if result != admission.Admitted {
			r.observeRefusal(now, t)
			continue
		}
		st.started, st.ended = now, now.Add(st.work)
		if now.Before(r.thawed) && st.ended.After(r.frozen) {
			st.ended = r.thawed
		}
		r.running = append(r.running, t)
		slices.SortStableFunc(r.running, func(a, b admission.Ticket) int { return statementOf(a).ended.Compare(statementOf(b).ended) })
	}
	if r.check != nil {
		r.check(now)
	}
}

func (r *loadRun) observeRefusal(now time.Time, t admission.Ticket) {
	if r.refused != nil {
		r.refused(now, t)
	}
}

// tally counts what callers get.
type tally struct {
	inTime, late, refused int
	took                  []time.Duration
}

func (y *tally) add(st *loadStatement) {
	took := st.ended.Sub(st.arrived)
	switch {
	case st.ended.IsZero():
		y.refused++
		return
	case took <= loadClasses[st.class].target:
		y.inTime++
	default:
		y.late++
	}
	y.took = append(y.took, took)
}

func (y *tally) all() int { return y.inTime + y.late + y.refused }

func (y *tally) share() float64 { return float64(y.inTime) / float64(max(y.all(), 1)) }

func (y *tally) p99() time.Duration {
	if len(y.took) == 0 {
		return 0
	}
	slices.Sort(y.took)
	return y.took[len(y.took)*99/100]
}

func (y *tally) String() string {
	part := func(n int) float64 { return float64(n) / float64(max(y.all(), 1)) }
	return fmt.Sprintf("%.3f | %.3f | %.3f | %d ms", part(y.inTime), part(y.late), part(y.refused), y.p99().Milliseconds())
}

// countLoad returns the tallies of the counted statements that a filter selects.
func countLoad(load []*loadStatement, selects func(st *loadStatement) bool) *tally {
	y := &tally{}
	for _, st := range load {
		if !st.arrived.Before(start.Add(loadWarmUp)) && selects(st) {
			y.add(st)
		}
	}
	return y
}

var loadClassNames = [...]string{"0", "1", "2"}

// orders are the orders that are compared.
var orders = []struct {
	name    string
	targets bool
	queue   func() order
}{
	{"present order", true, func() order { return admission.NewWith(admission.Settings{Slots: loadSlots, Fixed: true}) }},
	{"plain priority", false, func() order { return &plainPriority{} }},
	{"fair queueing alone", false, func() order { return admission.NewWith(admission.Settings{Slots: loadSlots, Fixed: true}) }},
	{"urgency", true, func() order {
		return admission.NewWith(admission.Settings{Slots: loadSlots, Fixed: true, Urgency: true})
	}},
}

// playOrders plays the load of several seeds in each order and returns the statements by order.
func playOrders(t *testing.T, frozen, thawed time.Duration) map[string][]*loadStatement {
	out := map[string][]*loadStatement{}
	for _, o := range orders {
		for seed := range uint64(5) {
			load := makeLoad(seed)
			r := &loadRun{queue: o.queue(), targets: o.targets}
			if thawed > 0 {
				r.frozen, r.thawed = start.Add(frozen), start.Add(thawed)
			}
			r.play(load)
			for _, st := range load {
				require.Equal(t, 1, st.results, "results of a statement")
			}
			out[o.name] = append(out[o.name], load...)
		}
	}
	return out
}

// loadTable returns what callers get, by class and by the account that sends more than usual.
func loadTable(played map[string][]*loadStatement) string {
	var b strings.Builder
	for _, o := range orders {
		for class := range loadClasses {
			for _, surging := range []bool{false, true} {
				y := countLoad(played[o.name], func(st *loadStatement) bool { return st.class == class && (st.account == 0) == surging })
				who := map[bool]string{false: "seven others", true: "surging"}[surging]
				fmt.Fprintf(&b, "| %s | %d | %s | %s |\n", o.name, class, who, y)
			}
		}
		fmt.Fprintf(&b, "| %s | all | all | %s |\n", o.name, countLoad(played[o.name], func(*loadStatement) bool { return true }))
	}
	return b.String()
}
