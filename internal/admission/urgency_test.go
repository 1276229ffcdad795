package admission_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/admission"
)

func byClass(class int) func(st *loadStatement) bool {
	return func(st *loadStatement) bool { return st.class == class }
}

// Guards against an overload in which urgent callers are served worst, against one in which the least urgent get
// nothing in time, and against statements without a result or with two.
func TestUrgencyUnderOverload(t *testing.T) {
	played := playOrders(t, 0, 0)
	t.Log("\n" + loadTable(played))
	present, plain, urgency := played["present order"], played["plain priority"], played["urgency"]
	for class := range 2 {
		require.GreaterOrEqual(t, countLoad(urgency, byClass(class)).share(), 0.99, "class %d", class)
		require.Less(t, countLoad(present, byClass(class)).share(), 0.75)
	}
	last := countLoad(urgency, byClass(2))
	require.GreaterOrEqual(t, last.share(), 3*countLoad(plain, byClass(2)).share())
	all := func(*loadStatement) bool { return true }
	require.GreaterOrEqual(t, countLoad(urgency, all).share(), countLoad(present, all).share()+0.15)
	others := countLoad(urgency, func(st *loadStatement) bool { return st.class == 2 && st.account != 0 })
	surging := countLoad(urgency, func(st *loadStatement) bool { return st.class == 2 && st.account == 0 })
	require.GreaterOrEqual(t, others.share(), 2*surging.share(), "shares of accounts within a class")
}

// Guards against a server that answers nothing for 1 s after which urgent statements are worked off in vain, and
// against lost or duplicated results meanwhile.
func TestUrgencyAfterFreeze(t *testing.T) {
	played := playOrders(t, 2*time.Second, 3*time.Second)
	t.Log("\n" + loadTable(played))
	for class := range 2 {
		require.Greater(t, countLoad(played["urgency"], byClass(class)).share(), countLoad(played["present order"], byClass(class)).share()+0.15)
	}
	require.True(t, slices.ContainsFunc(played["urgency"], func(st *loadStatement) bool { return st.yielded }), "statements yield")
	since := func(st *loadStatement) bool {
		return st.class == 0 && !st.arrived.Before(start.Add(3200*time.Millisecond))
	}
	require.GreaterOrEqual(t, countLoad(played["urgency"], since).share(), 0.99, "from 200 ms after the answers on")
}

// Guards against idle slots while statements wait, against a refusal while a slot is free of a statement that the
// slot could serve in time, and against lost or duplicated results, for any load of known service times.
func TestUrgencyKeepsEveryStatement(t *testing.T) {
	hopeless := 0
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewWith(admission.Settings{Slots: loadSlots, Fixed: true, MaxWaiting: 100, Urgency: true})
		load := drawLoad(t)
		r := &loadRun{queue: q, targets: rapid.Bool().Draw(t, "targets"), frozen: start.Add(time.Second)}
		r.thawed = r.frozen.Add(ms(rapid.IntRange(0, 1000).Draw(t, "freeze")))
		r.check = func(time.Time) { require.True(t, q.Waiting() == 0 || q.Running() == loadSlots, "an idle slot") }
		r.refused = func(now time.Time, ticket admission.Ticket) {
			switch class := loadClasses[statementOf(ticket).class]; {
			case ticket.Yielded:
				require.Equal(t, loadSlots, q.Running())
			case q.Running() < loadSlots:
				require.Less(t, ticket.Deadline.Sub(now), 2*class.work)
			case now.Before(ticket.Deadline):
				hopeless++
			}
		}
		r.play(load)
		for _, st := range load {
			require.Equal(t, 1, st.results, "results of a statement")
		}
	})
	require.Positive(t, hopeless, "the loads have refusals before the deadline")
}

// drawLoad returns a load after a calm time in which the queue learns the service times.
func drawLoad(t *rapid.T) []*loadStatement {
	load := makeLoad(rapid.Uint64().Draw(t, "seed"))
	load = slices.DeleteFunc(load, func(st *loadStatement) bool { return st.arrived.After(start.Add(loadWarmUp)) })
	at := start.Add(loadWarmUp)
	for range rapid.IntRange(0, 4).Draw(t, "bursts") {
		class, account := rapid.IntRange(0, 2).Draw(t, "class"), rapid.IntRange(0, 7).Draw(t, "account")
		gap := time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Microsecond
		for range rapid.IntRange(1, 300).Draw(t, "length") {
			at = at.Add(gap)
			load = append(load, &loadStatement{class: class, account: account, arrived: at, work: loadClasses[class].work})
			account = (account + 1) % loadAccounts
		}
	}
	return load
}

// Guards against classes that starve while more urgent ones use all slots, and against minima that take more than
// a tenth.
func TestLowerClassesHaveAMinimum(t *testing.T) {
	for _, p := range []bool{false, true} {
		q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true, MaxWaiting: 10_000, Urgency: true})
		push(q, "urgent", 5000, admission.Ticket{InTransaction: p})
		push(q, "middle", 5000, admission.Ticket{Priority: 1, InTransaction: p})
		push(q, "last", 5000, admission.Ticket{Priority: 200, InTransaction: p})
		tags := drain(q, start)[:4000]
		require.InDelta(t, 3600, count(tags, "urgent"), 4)
		require.InDelta(t, 200, count(tags, "middle"), 2)
		require.InDelta(t, 200, count(tags, "last"), 2)
	}
}

// Guards against one account whose urgent statements displace those of others in the class.
func TestSurgeStaysWithinItsShare(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true, Urgency: true})
	push(q, "surge", 200, admission.Ticket{})
	push(q, "usual", 20, admission.Ticket{})
	push(q, "less urgent", 20, admission.Ticket{Priority: 1})
	require.InDelta(t, 18, count(drain(q, start)[:40], "usual"), 2)
}

// Guards against open transactions that wait behind new statements, and behind those of less urgent routes.
func TestUrgentTransactionsFirst(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true, Urgency: true})
	push(q, "urgent", 3, admission.Ticket{})
	push(q, "open, less urgent", 1, admission.Ticket{Priority: 2, InTransaction: true})
	push(q, "open, urgent", 1, admission.Ticket{InTransaction: true})
	require.Equal(t, []string{"open, urgent", "open, less urgent", "urgent"}, drain(q, start)[:3])
}

// warmClasses returns a queue of one slot that knows the service time of two classes, 10 ms, with that slot taken.
func warmClasses(t *testing.T) (*admission.Queue, time.Time) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true, Urgency: true})
	now := start
	for i := range 40 {
		q.Push(now, admission.Ticket{Account: "warm", Priority: uint8(i % 2)})
		ticket, _ := q.Pop(now)
		now = now.Add(ms(10))
		q.Done(now, ticket, ms(10), false)
	}
	q.Push(now, admission.Ticket{Account: "running"})
	_, result := q.Pop(now)
	require.Equal(t, admission.Admitted, result)
	return q, now
}

// Guards against an urgent statement that is late because of the guaranteed minimum of statements that are less
// urgent, against yields that do not help it, and against a refusal of the latter without a result.
func TestLessUrgentStatementsYield(t *testing.T) {
	q, now := warmClasses(t)
	q.Push(now, admission.Ticket{Account: "a", Priority: 1, Tag: "overdue", Target: now.Add(ms(5))})
	for i := range 3 {
		q.Push(now, admission.Ticket{Account: "a", Priority: 1, Tag: i})
	}
	for range 40 {
		q.Push(now, admission.Ticket{Account: "a"}) // 300 ms at least
	}
	_, result := q.Push(now, admission.Ticket{Account: "a", Target: now.Add(ms(200)), Tag: "in vain"})
	require.Equal(t, admission.Waiting, result)
	_, result = q.Pop(now)
	require.Equal(t, admission.None, result, "nothing yields where that does not help")
	_, result = q.Push(now, admission.Ticket{Account: "a", Target: now.Add(ms(335)), Tag: "urgent"}) // 20 ms more than those ahead take
	require.Equal(t, admission.Waiting, result)
	var yielded []any
	for {
		ticket, result := q.Pop(now)
		if result == admission.None {
			break
		}
		require.Equal(t, admission.Late, result)
		require.True(t, ticket.Yielded)
		yielded = append(yielded, ticket.Tag)
	}
	require.ElementsMatch(t, []any{"overdue", 2}, yielded, "the late one and the latest")
}

// Guards against a less urgent statement that waits until its deadline although urgent ones that arrived later
// leave it no time.
func TestHopelessStatementIsReturnedEarly(t *testing.T) {
	q, now := warmClasses(t)
	q.Push(now, admission.Ticket{Account: "a", Priority: 1, Deadline: now.Add(ms(80)), Tag: "hopeless"})
	_, result := q.Pop(now)
	require.Equal(t, admission.None, result)
	for range 50 {
		q.Push(now, admission.Ticket{Account: "a"})
	}
	ticket, result := q.Pop(now)
	require.Equal(t, admission.Late, result)
	require.Equal(t, "hopeless", ticket.Tag)
}

// Guards against refusing a less urgent statement that its guaranteed minimum serves in time.
func TestMinimumCountsAgainstRefusal(t *testing.T) {
	q, now := warmClasses(t)
	for range 200 {
		q.Push(now, admission.Ticket{Account: "a"})
	}
	within := func(priority uint8, left time.Duration) admission.Result {
		p, result := q.Push(now, admission.Ticket{Account: "b", Priority: priority, Deadline: now.Add(left)})
		q.Cancel(p)
		return result
	}
	require.Equal(t, admission.Late, within(1, ms(60)), "a tenth of the slot covers 10 ms after 75 ms at the earliest")
	require.Equal(t, admission.Waiting, within(1, ms(120)))
	require.Equal(t, admission.Waiting, within(0, ms(30)), "its account has used less than its share")
}

// Guards against a different order than without urgency when all statements have the same priority.
func TestOnePriorityIsThePresentOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := admission.Settings{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Fixed: rapid.Bool().Draw(t, "fixed"), MaxWaiting: 5, ReadShare: 0.3}
		present := admission.NewWith(s)
		s.Urgency = true
		urgency := admission.NewWith(s)
		priority := uint8(rapid.IntRange(0, 9).Draw(t, "the priority"))
		var running [2][]admission.Ticket
		now := start
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(ms(rapid.IntRange(0, 10).Draw(t, "pause")))
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				ticket := drawTicket(t, now, i)
				ticket.Priority = priority
				_, first := present.Push(now, ticket)
				_, second := urgency.Push(now, ticket)
				require.Equal(t, first, second)
			} else if len(running[0]) > 0 {
				elapsed, failed := ms(rapid.IntRange(0, 30).Draw(t, "elapsed")), rapid.Bool().Draw(t, "failed")
				present.Done(now, running[0][0], elapsed, failed)
				urgency.Done(now, running[1][0], elapsed, failed)
				running[0], running[1] = running[0][1:], running[1][1:]
			}
			for result := admission.Late; result != admission.None; {
				var first, second admission.Ticket
				var other admission.Result
				first, result = present.Pop(now)
				second, other = urgency.Pop(now)
				require.Equal(t, result, other)
				require.Equal(t, first.Tag, second.Tag)
				if result == admission.Admitted {
					running[0], running[1] = append(running[0], first), append(running[1], second)
				}
			}
		}
	})
}

// Guards against thousands of idle queues that need much more memory with urgency, and against allocations in the
// path of every statement.
func TestUrgencyMemory(t *testing.T) {
	accounts := []admission.AccountID{"a", "b", "c", "d", "e", "f"}
	size := func(s admission.Settings, classes int) float64 {
		const n = 2000
		queues := make([]*admission.Queue, n)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range queues {
			queues[i] = admission.NewWith(s)
			for k := range 6 * classes {
				q := queues[i]
				q.Push(start, admission.Ticket{Account: accounts[k%6], Priority: uint8(k / 6)})
				ticket, _ := q.Pop(start)
				q.Done(start, ticket, ms(1), false)
			}
		}
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(queues)
		return float64(after.TotalAlloc-before.TotalAlloc) / n
	}
	off, on := size(admission.Settings{Slots: 4}, 1), size(admission.Settings{Slots: 4, Urgency: true}, 1)
	three := size(admission.Settings{Slots: 4, Urgency: true}, 3)
	t.Logf("bytes of an idle queue that had six accounts: %.0f; with urgency %.0f, after three priorities %.0f", off, on, three)
	require.Less(t, on-off, 200.0)
	require.Less(t, three-on, 2500.0)

	q := admission.NewWith(admission.Settings{Slots: 1, Urgency: true})
	priority := uint8(0)
	run := func() {
		q.Push(start, admission.Ticket{Account: "a", Priority: priority})
		got, _ := q.Pop(start)
		q.Done(start, got, ms(1), false)
		priority = (priority + 1) % 3
	}
	for range 10 {
		run()
	}
	require.Zero(t, testing.AllocsPerRun(1000, run))
}

// Guards against classes with different service times that look like congestion when their mix changes.
func TestMixOfClassesIsNoCongestion(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 4, Urgency: true, MaxWaiting: 10_000})
	now := start
	for round := range 6 {
		class := round % 2 * 2
		push(q, "a", 200, admission.Ticket{Priority: uint8(class)})
		for {
			ticket, result := q.Pop(now)
			if result == admission.None {
				break
			}
			now = now.Add(loadClasses[class].work)
			q.Done(now, ticket, loadClasses[class].work, false)
			require.Equal(t, 4, q.Allowed())
		}
	}
}

// BenchmarkUrgency measures push, pop and done with four waiting statements per account, by number of classes.
func BenchmarkUrgency(b *testing.B) {
	for _, classes := range []int{1, 3, 8} {
		b.Run(fmt.Sprintf("classes=%d", classes), func(b *testing.B) {
			q := admission.NewWith(admission.Settings{Slots: 2, Urgency: true})
			tickets := make([]admission.Ticket, 1000)
			for i := range tickets {
				tickets[i] = admission.Ticket{
					Account: admission.AccountID(fmt.Sprintf("account-%04d", i)), Deadline: start.Add(time.Hour), Target: start.Add(time.Minute), Priority: uint8(i % classes),
				}
			}
			for k := range 4 * len(tickets) {
				q.Push(start, tickets[k*7%len(tickets)])
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				q.Push(start, tickets[(i*17)%len(tickets)])
				t, _ := q.Pop(start)
				q.Done(start, t, ms(5), false)
			}
		})
	}
}
