package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/lease"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.steps").Value.String() == "30" {
		// Overspending takes several steps: a lost reply, an expiry, a second holder and its use.
		_ = flag.Set("rapid.steps", "60")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "1000")
	}
	os.Exit(m.Run())
}

// seed varies the traffic of the seeded tests for longer runs.
var seed = flag.Uint64("seed", 7, "seed of the traffic")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry is an entry VM with clock drift.
type entry struct {
	*lease.Holder
	id       string
	speed    float64
	sequence uint64
	open     int // connections that it counts as open
	want     int
	waiting  []time.Time
}

// message is a request or its reply in transit.
type message struct {
	to      *entry
	sent    time.Time // on the clock of the entry VM
	request *wire.RenewRequest
	reply   *wire.RenewReply
}

// fleet is an issuer, its entry VMs, one account and one backend server.
type fleet struct {
	now           time.Time
	issuer        *lease.Issuer
	configuration *wire.Configuration
	views         []*wire.View
	policy        lease.Policy
	registered    []*wire.Registration
	entries       []*entry
	requests      []message
	replies       []message
	opened        map[string]int // connections at the backend server by identity
	tokens        float64        // reference token bucket of the account
	filled        time.Time
	ended         []lease.Expired
	count         int
}

const pool = 10 // connections of the server without those reserved for control

func newFleet(rate, burst float64, policy lease.Policy) *fleet {
	f := &fleet{now: epoch, opened: map[string]int{}, tokens: burst, filled: epoch, policy: policy}
	f.configuration = &wire.Configuration{
		Accounts: []*wire.Account{{Name: "a", Rate: rate, Burst: burst}},
		Groups:   []*wire.Group{{Name: "g", Members: 1, Connections: pool + 2}},
	}
	f.views = []*wire.View{{Group: "g", Members: []*wire.Member{{Server: "x"}}}}
	f.newLeader()
	f.issuer.Configure(f.now, f.configuration, f.views)
	return f
}

// newLeader creates a new issuer. Requests in transit to the former leader are lost.
func (f *fleet) newLeader() {
	f.issuer = lease.NewIssuer(f.now, f.configuration, f.registered)
	f.issuer.SetPolicy(f.policy)
	f.issuer.Configure(f.now, f.configuration, f.views)
	f.requests, f.ended = nil, nil
}

func (f *fleet) start(speed float64) *entry {
	f.count++
	e := &entry{Holder: lease.NewHolder(), id: fmt.Sprintf("e%03d", f.count), speed: speed, want: 2}
	f.entries = append(f.entries, e)
	f.registered = append(f.registered, &wire.Registration{Entry: e.id})
	return e
}

// clock returns the time on the clock of the entry VM.
func (f *fleet) clock(e *entry) time.Time {
	return epoch.Add(time.Duration(float64(f.now.Sub(epoch)) * e.speed))
}

// applyBudget opens and closes connections according to the budget.
func (f *fleet) applyBudget(e *entry) {
	budget := e.Connections(f.clock(e), "x")
	e.open = min(budget, max(e.want, 0))
	f.opened[e.id] = e.open
}

func (f *fleet) send(e *entry) {
	f.applyBudget(e)
	e.sequence++
	f.now = f.now.Add(time.Microsecond)
	now := f.clock(e)
	f.requests = append(f.requests, message{to: e, sent: now, request: &wire.RenewRequest{
		Registration: &wire.Registration{Entry: e.id},
		Sequence:     e.sequence,
		Demands:      e.Demands(now),
		Needs:        e.Needs(now, []lease.Usage{{Server: "x", Open: e.open, Want: e.want}}),
	}})
}

func (f *fleet) answer(m message) message {
	credits, budgets := f.issuer.Renew(f.now, m.request)
	m.reply = &wire.RenewReply{Leader: true, Sequence: m.request.GetSequence(), Credits: credits, Budgets: budgets}
	return m
}

// take admits a statement and charges it to the reference bucket, which must not become negative.
func (f *fleet) take(e *entry, cost float64) lease.Verdict {
	r := e.Take(f.clock(e), "a", cost)
	if r.Verdict == lease.Admitted {
		a := f.configuration.GetAccounts()[0]
		f.tokens = min(a.GetBurst(), f.tokens+a.GetRate()*f.now.Sub(f.filled).Seconds())
		f.filled = f.now
		f.tokens -= cost
	}
	return r.Verdict
}

// Guards against admitting more than burst + rate x length in a window and against more connections than an
// instance has, under loss, duplication, reordering, crash, freeze, leader change and clock drift.
func TestFleetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.SampledFrom([]float64{1, 20, 1000}).Draw(t, "rate"),
			rapid.SampledFrom([]float64{1, 3, 10, 100}).Draw(t, "burst"), lease.Pooled)
		speeds := rapid.SampledFrom([]float64{1 / 1.01, 1, 1.01})
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			f.start(speeds.Draw(t, "speed"))
		}
		some := func(t *rapid.T) *entry { return rapid.SampledFrom(f.entries).Draw(t, "entry") }
		pick := func(t *rapid.T, list *[]message) (message, bool) {
			if len(*list) == 0 {
				return message{}, false
			}
			// Recent messages are preferred, so that most exchanges are in order.
			at := len(*list) - 1 - min(len(*list)-1, rapid.IntRange(0, 6).Draw(t, "which")/3)
			m := (*list)[at]
			if rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
				*list = slices.Delete(*list, at, at+1)
			}
			return m, true
		}
		demand := func(e *entry, count int) {
			for range count {
				f.take(e, 1)
			}
		}
		exchange := func(e *entry, lost bool) {
			f.send(e)
			m := f.answer(f.requests[len(f.requests)-1])
			f.requests = f.requests[:len(f.requests)-1]
			f.replies = append(f.replies, m)
			if lost {
				return
			}
			e.Grant(m.sent, f.clock(e), m.reply)
			f.applyBudget(e)
		}
		all := int(f.tokens) + 1
		drain := func(e *entry) {
			for range 4 {
				demand(e, all)
				exchange(e, false)
			}
			demand(e, all)
		}
		wait := func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{1, 10, 100, 500, 1900, 2010, 2020}).Draw(t, "ms")
			f.now = f.now.Add(time.Duration(ms) * time.Millisecond)
		}
		// A long-running account has a full bucket, which leaves the issuer the most to overspend.
		f.now = f.now.Add(time.Duration(f.tokens) * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"pass":  wait,
			"take":  func(t *rapid.T) { demand(some(t), rapid.SampledFrom([]int{1, 5, all}).Draw(t, "count")) },
			"drain": func(t *rapid.T) { drain(some(t)) },
			"overlap": func(t *rapid.T) {
				e, other := some(t), some(t)
				demand(e, all)
				f.send(e)
				if rapid.Bool().Draw(t, "second") {
					f.send(e)
				}
				first, last := f.requests[max(0, len(f.requests)-2)], f.requests[len(f.requests)-1]
				if first.to != e || rapid.Bool().Draw(t, "repeated") {
					first = last
				}
				wait(t)
				drain(other)
				replies := []message{f.answer(first)}
				drain(other)
				replies = append(replies, f.answer(last))
				drain(other)
				if rapid.Bool().Draw(t, "reordered") {
					slices.Reverse(replies)
				}
				for _, m := range replies {
					e.Grant(m.sent, f.clock(e), m.reply)
				}
				demand(e, all)
			},
			"hoard": func(t *rapid.T) {
				e := some(t)
				demand(e, all)
				exchange(e, rapid.Bool().Draw(t, "lost"))
			},
			"exchange": func(t *rapid.T) { exchange(some(t), rapid.Bool().Draw(t, "lost")) },
			"send":     func(t *rapid.T) { f.send(some(t)) },
			"deliver": func(t *rapid.T) {
				if m, ok := pick(t, &f.requests); ok {
					f.replies = append(f.replies, f.answer(m))
				}
			},
			"reply": func(t *rapid.T) {
				if m, ok := pick(t, &f.replies); ok && slices.Contains(f.entries, m.to) {
					m.to.Grant(m.sent, f.clock(m.to), m.reply)
					f.applyBudget(m.to)
				}
			},
			"want": func(t *rapid.T) { some(t).want = rapid.IntRange(0, 12).Draw(t, "want") },
			"crash": func(t *rapid.T) {
				at := rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")
				f.entries = slices.Delete(f.entries, at, at+1)
				f.start(speeds.Draw(t, "speed"))
			},
			"leave": func(t *rapid.T) {
				e := some(t)
				e.want = 0
				f.applyBudget(e)
				f.entries = slices.DeleteFunc(f.entries, func(o *entry) bool { return o == e })
				f.send(e)
				f.requests[len(f.requests)-1].request.Leaving = true
				f.start(speeds.Draw(t, "speed"))
			},
			"lead":   func(*rapid.T) { f.newLeader() },
			"expire": func(t *rapid.T) { f.ended = append(f.ended, f.issuer.Expire(f.now)...) },
			"terminate": func(t *rapid.T) {
				for _, x := range f.ended {
					delete(f.opened, string(x.Entry))
					if rapid.Bool().Draw(t, "answered") {
						f.issuer.Terminated(x.Entry, x.Server)
					}
				}
				f.ended = nil
				for _, gone := range f.issuer.Removable(f.now) {
					f.registered = slices.DeleteFunc(f.registered, func(r *wire.Registration) bool { return r.GetEntry() == string(gone) })
					f.issuer.Remove(gone)
					f.registered = append(f.registered, reregister(f, gone)...)
				}
			},
			"": func(t *rapid.T) {
				require.GreaterOrEqual(t, f.tokens, -1e-6, "more than burst + rate x length")
				sum := 0
				for _, n := range f.opened {
					sum += n
				}
				require.LessOrEqual(t, sum, pool, "more connections than the instance has")
			},
		})
	})
}

// reregister registers an entry VM again that was only frozen or partitioned.
func reregister(f *fleet, id lease.EntryID) []*wire.Registration {
	for _, e := range f.entries {
		if e.id == string(id) {
			return []*wire.Registration{{Entry: e.id}}
		}
	}
	return nil
}

// runTraffic plays conforming traffic for the given time and returns how many statements were offered and how
// many were refused or waited longer than 250 ms. Each message takes 1 to 6 ms one way.
func runTraffic(f *fleet, length time.Duration, seed uint64, next func(random *rand.Rand, tokens float64) (e *entry, count int)) (offered, refused int) {
	random := rand.New(rand.NewPCG(seed, 1))
	type flight struct {
		at time.Time
		message
	}
	var flights []flight
	busy := map[*entry]time.Time{}
	delay := func() time.Duration { return time.Millisecond + time.Duration(random.IntN(5))*time.Millisecond }
	a := f.configuration.GetAccounts()[0]
	allowed := 0.0 // a new issuer starts with empty buckets
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		allowed = min(a.GetBurst(), allowed+a.GetRate()/1000)
		if e, count := next(random, allowed); e != nil {
			for range min(count, int(allowed)) {
				allowed--
				offered++
				switch f.take(e, 1) {
				case lease.Wait:
					e.waiting = append(e.waiting, f.now)
				case lease.Refused:
					refused++
				}
			}
		}
		for i := 0; i < len(flights); i++ {
			m := flights[i]
			if m.at.After(f.now) {
				continue
			}
			flights = slices.Delete(flights, i, i+1)
			i--
			if m.reply == nil {
				flights = append(flights, flight{f.now.Add(delay()), f.answer(m.message)})
				continue
			}
			e := m.to
			e.Grant(m.sent, f.now, m.reply)
			delete(busy, e)
			waiting := e.waiting
			e.waiting = nil
			for _, since := range waiting {
				if f.take(e, 1) != lease.Admitted {
					e.waiting = append(e.waiting, since)
				}
			}
		}
		for _, e := range f.entries {
			for len(e.waiting) > 0 && f.now.Sub(e.waiting[0]) > 250*time.Millisecond {
				e.waiting = e.waiting[1:]
				refused++
			}
			if _, sent := busy[e]; !sent && !e.Next().After(f.now) {
				f.send(e)
				busy[e] = f.now
				flights = append(flights, flight{f.now.Add(delay()), f.requests[len(f.requests)-1]})
				f.requests = nil
			}
		}
	}
	return offered, refused
}

// Guards against refusing an account within its rate because its credit is held by another entry VM.
func TestConformingTrafficIsAdmitted(t *testing.T) {
	for _, c := range []struct{ rate, burst float64 }{{2, 4}, {10, 5}, {50, 20}, {100, 100}, {400, 800}, {2000, 400}} {
		for name, next := range map[string]func(f *fleet) func(*rand.Rand, float64) (*entry, int){
			"spread": func(f *fleet) func(*rand.Rand, float64) (*entry, int) {
				return func(r *rand.Rand, _ float64) (*entry, int) {
					return f.entries[r.IntN(len(f.entries))], poisson(r, c.rate*0.9/1000)
				}
			},
			"moving": func(f *fleet) func(*rand.Rand, float64) (*entry, int) {
				return func(r *rand.Rand, _ float64) (*entry, int) {
					at := int(f.now.Sub(epoch)/(3*time.Second)) % len(f.entries)
					return f.entries[at], poisson(r, c.rate*0.9/1000)
				}
			},
			"bursts": func(f *fleet) func(*rand.Rand, float64) (*entry, int) {
				return func(r *rand.Rand, tokens float64) (*entry, int) {
					if tokens < c.burst-0.01 {
						return nil, 0
					}
					return f.entries[r.IntN(len(f.entries))], int(c.burst)
				}
			},
		} {
			t.Run(fmt.Sprint(name, c.rate, "/", c.burst), func(t *testing.T) {
				refused := map[lease.Policy]int{}
				for _, policy := range []lease.Policy{lease.Pooled, lease.Static} {
					f := newFleet(c.rate, c.burst, policy)
					for range 10 {
						f.start(1)
					}
					offered, missed := runTraffic(f, 20*time.Second, *seed, next(f))
					t.Logf("policy %d: %d offered, %d refused", policy, offered, missed)
					refused[policy] = missed
					require.GreaterOrEqual(t, f.tokens, -1e-6)
				}
				require.Zero(t, refused[lease.Pooled])
			})
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for sum := r.ExpFloat64(); sum < mean; sum += r.ExpFloat64() {
		n++
	}
	return n
}
