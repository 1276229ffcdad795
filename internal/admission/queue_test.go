package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/admission"
)

var start = time.Unix(1_800_000_000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// warm lets the queue observe a constant service time. It returns the time of the last statement's end.
func warm(q *admission.Queue, account admission.AccountID, each time.Duration) time.Time {
	now := start
	for range 200 {
		q.Push(now, admission.Ticket{Account: account})
		t, _ := q.Pop(now)
		now = now.Add(each)
		q.Done(now, t, each, false)
	}
	return now
}

// drain runs all statements one by one and returns their tags in order.
func drain(q *admission.Queue, now time.Time) (tags []string) {
	for {
		t, result := q.Pop(now)
		if result == admission.None {
			return tags
		}
		tags = append(tags, fmt.Sprint(t.Tag))
		if result == admission.Admitted {
			q.Done(now, t, ms(5), false)
		}
	}
}

func push(q *admission.Queue, account string, n int, t admission.Ticket) {
	t.Account = admission.AccountID(account)
	for range n {
		t.Tag = account
		q.Push(start, t)
	}
}

func count(tags []string, tag string) (n int) {
	for _, t := range tags {
		if t == tag {
			n++
		}
	}
	return n
}

// Guards M3: a client account with a long queue must not delay the others, and weights count.
func TestFairShares(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true})
	push(q, "large", 100, admission.Ticket{})
	push(q, "small", 10, admission.Ticket{})
	push(q, "double", 40, admission.Ticket{Weight: 2})
	tags := drain(q, start)
	require.Len(t, tags, 150)
	require.InDelta(t, 10, count(tags[:40], "small"), 1)
	require.InDelta(t, 20, count(tags[:40], "double"), 1)

	fifo := admission.NewWith(admission.Settings{Slots: 1, Fixed: true, Policy: admission.FIFO})
	push(fifo, "large", 100, admission.Ticket{})
	push(fifo, "small", 10, admission.Ticket{})
	require.Zero(t, count(drain(fifo, start)[:100], "small"))
}

// Guards against an idle account that accumulates credit for more than four statements.
func TestIdleCreditIsBounded(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true})
	push(q, "busy", 100, admission.Ticket{})
	drain(q, start)
	push(q, "busy", 50, admission.Ticket{})
	push(q, "idle", 50, admission.Ticket{})
	require.InDelta(t, 4+8, count(drain(q, start)[:20], "idle"), 1)
}

// Guards against an account with slow statements that uses more slot time than its share.
func TestSlotTimeIsShared(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true, MaxWaiting: 10_000})
	push(q, "slow", 2000, admission.Ticket{})
	push(q, "fast", 8000, admission.Ticket{})
	now, used := start, map[string]time.Duration{}
	for now.Sub(start) < 10*time.Second {
		ticket, _ := q.Pop(now)
		each := ms(2)
		if ticket.Tag == "slow" {
			each = ms(20)
		}
		now = now.Add(each)
		used[fmt.Sprint(ticket.Tag)] += each
		q.Done(now, ticket, each, false)
	}
	require.InDelta(t, 5, used["slow"].Seconds(), 0.5)
}

// Guards against idle slots while statements wait, against more statements in flight than slots, and against
// lost or duplicated tickets, for any sequence of calls.
func TestQueueKeepsEveryTicket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		q := admission.NewWith(admission.Settings{
			Slots: slots, Fixed: rapid.Bool().Draw(t, "fixed"), MaxWaiting: 5, ReadShare: 0.5,
			Policy: admission.Policy(rapid.IntRange(0, 1).Draw(t, "policy")), Urgency: rapid.Bool().Draw(t, "urgency"),
		})
		now, next := start, 0
		waiting := map[int]admission.Handle{}
		var running []admission.Ticket
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(ms(rapid.IntRange(0, 20).Draw(t, "pause")))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				ticket := drawTicket(t, now, next)
				if place, result := q.Push(now, ticket); result == admission.Waiting {
					waiting[next] = place
				}
				next++
			case 2:
				for tag, place := range waiting {
					require.True(t, q.Cancel(place))
					require.False(t, q.Cancel(place))
					delete(waiting, tag)
					break
				}
			case 3:
				if len(running) > 0 {
					q.Done(now, running[0], ms(rapid.IntRange(0, 50).Draw(t, "elapsed")), rapid.Bool().Draw(t, "failed"))
					running = running[1:]
				}
			}
			running = append(running, popAll(t, q, now, waiting)...)
			require.Equal(t, len(waiting), q.Waiting())
			require.Equal(t, len(running), q.Running())
			require.True(t, q.Waiting() == 0 || q.Running() >= q.Allowed(), "an idle slot")
			require.LessOrEqual(t, q.Running(), slots)
			require.True(t, q.Allowed() >= 1 && q.Allowed() <= slots)
		}
	})
}

func drawTicket(t *rapid.T, now time.Time, tag int) admission.Ticket {
	ticket := admission.Ticket{
		Account: admission.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
		Read:    rapid.Bool().Draw(t, "read"), InTransaction: rapid.Bool().Draw(t, "continues"), Tag: tag,
		Weight: rapid.Float64Range(0, 5).Draw(t, "weight"), Priority: uint8(rapid.IntRange(0, 9).Draw(t, "priority")),
	}
	if rapid.Bool().Draw(t, "timed") {
		ticket.Deadline = now.Add(ms(rapid.IntRange(0, 100).Draw(t, "deadline")))
	}
	if rapid.Bool().Draw(t, "targeted") {
		ticket.Target = now.Add(ms(rapid.IntRange(0, 50).Draw(t, "target")))
	}
	return ticket
}

func popAll(t *rapid.T, q *admission.Queue, now time.Time, waiting map[int]admission.Handle) (admitted []admission.Ticket) {
	for {
		ticket, result := q.Pop(now)
		if result == admission.None {
			return admitted
		}
		require.Contains(t, waiting, ticket.Tag)
		delete(waiting, ticket.Tag.(int))
		if result == admission.Admitted {
			require.True(t, ticket.Deadline.IsZero() || !now.After(ticket.Deadline))
			admitted = append(admitted, ticket)
		}
	}
}

// Guards against one account that fills the memory of an entry VM.
func TestWaitingIsLimited(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, MaxWaiting: 3})
	push(q, "a", 3, admission.Ticket{})
	_, result := q.Push(start, admission.Ticket{Account: "a"})
	require.Equal(t, admission.Full, result)
	_, result = q.Push(start, admission.Ticket{Account: "b"})
	require.Equal(t, admission.Waiting, result)
}

// Guards against statements that wait although they cannot finish in time, and against refusing one that can:
// with fair shares the queue of another account is no reason to refuse.
func TestDeadline(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true})
	now := warm(q, "large", ms(10))
	within := func(account admission.AccountID, left time.Duration) admission.Result {
		place, result := q.Push(now, admission.Ticket{Account: account, Deadline: now.Add(left)})
		q.Cancel(place)
		return result
	}
	require.Equal(t, admission.Late, within("large", ms(9)), "the fastest statement takes 10 ms")
	require.Equal(t, admission.Waiting, within("large", ms(11)))
	push(q, "large", 100, admission.Ticket{})
	require.Equal(t, admission.Late, within("large", ms(700)), "100 statements take 1 s, at least 750 ms")
	require.Equal(t, admission.Waiting, within("large", ms(1100)))
	require.Equal(t, admission.Waiting, within("small", ms(40)))

	ticket := admission.Ticket{Account: "small", Deadline: now.Add(ms(40)), Tag: "late"}
	q.Push(now, ticket)
	got, result := q.Pop(now.Add(ms(35)))
	for result == admission.Admitted {
		q.Done(now.Add(ms(35)), got, ms(10), false)
		got, result = q.Pop(now.Add(ms(35)))
	}
	require.Equal(t, admission.Late, result)
	require.Equal(t, "late", got.Tag)
}

// Guards against reads that delay the writes of a primary, and against slots left idle by the limit on reads.
func TestReadsAreBoundedWhileWritesWait(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 4, Fixed: true, ReadShare: 0.5})
	push(q, "read", 10, admission.Ticket{Read: true})
	push(q, "write", 10, admission.Ticket{})
	reads, writes := 0, 0
	for range 4 {
		ticket, _ := q.Pop(start)
		if ticket.Read {
			reads++
		} else {
			writes++
		}
	}
	require.LessOrEqual(t, reads, 2)
	require.GreaterOrEqual(t, writes, 2)

	one := admission.NewWith(admission.Settings{Slots: 1, Fixed: true, ReadShare: 0.25})
	push(one, "read", 200, admission.Ticket{Read: true})
	push(one, "write", 200, admission.Ticket{})
	require.InDelta(t, 25, count(drain(one, start)[:100], "read"), 1, "also when only one statement runs at a time")

	idle := admission.NewWith(admission.Settings{Slots: 4, Fixed: true, ReadShare: 0.5})
	push(idle, "read", 10, admission.Ticket{Read: true})
	for range 4 {
		_, result := idle.Pop(start)
		require.Equal(t, admission.Admitted, result)
	}
}

// Guards against an open transaction that holds locks while it waits behind new ones.
func TestTransactionsContinueFirst(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 1, Fixed: true})
	push(q, "large", 50, admission.Ticket{})
	push(q, "open", 1, admission.Ticket{InTransaction: true})
	require.Equal(t, "open", drain(q, start)[0])
}

// Guards against a limit that stays high while other entry VMs use the slots, or stays low afterwards.
func TestLimitFollowsLatency(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 3, MaxWaiting: 100_000})
	now := start
	round := func(elapsed time.Duration) {
		q.Push(now, admission.Ticket{Account: "a"})
		ticket, _ := q.Pop(now)
		now = now.Add(elapsed)
		q.Done(now, ticket, elapsed, false)
	}
	push(q, "a", 10, admission.Ticket{})
	for range 300 {
		round(ms(10))
	}
	require.Equal(t, 3, q.Allowed())
	for range 300 {
		round(ms(50))
	}
	require.Equal(t, 1, q.Allowed())
	for range 300 {
		round(ms(10))
	}
	require.Equal(t, 3, q.Allowed())
	q.SetSlots(2)
	require.Equal(t, 2, q.Allowed())
}

// Guards against accumulating the state of accounts that no longer send statements.
func TestIdleAccountsAreRemoved(t *testing.T) {
	q := admission.New(2)
	for i := range 10_000 {
		pushed := admission.Ticket{Account: admission.AccountID(fmt.Sprint(i))}
		q.Push(start, pushed)
		ticket, _ := q.Pop(start)
		if i%2 == 0 {
			ticket = pushed // callers may keep their own copy
		}
		q.Done(start, ticket, ms(1), false)
	}
	require.Less(t, q.Accounts(), 1000)
}

// Guards against allocations in the path of every statement.
func TestPushPopAllocations(t *testing.T) {
	q := admission.New(2)
	push(q, "a", 10, admission.Ticket{})
	ticket := admission.Ticket{Account: "a"}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		q.Push(start, ticket)
		got, _ := q.Pop(start)
		q.Done(start, got, ms(1), false)
	}))
}

// BenchmarkPushPop measures push, pop and done with four waiting statements per account.
func BenchmarkPushPop(b *testing.B) {
	for _, size := range []struct{ accounts, databases int }{{8, 1}, {1000, 1}, {1000, 1900}} {
		b.Run(fmt.Sprintf("accounts=%d/databases=%d", size.accounts, size.databases), func(b *testing.B) {
			queues := make([]*admission.Queue, size.databases)
			tickets := make([]admission.Ticket, size.accounts)
			for i := range tickets {
				tickets[i].Account = admission.AccountID(fmt.Sprintf("account-%04d", i))
				tickets[i].Deadline = start.Add(time.Hour)
			}
			for i := range queues {
				queues[i] = admission.New(2)
				for k := range 4 * min(size.accounts, 40_000/size.databases+1) {
					queues[i].Push(start, tickets[(k*7+i)%size.accounts])
				}
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				q := queues[(i*31)%size.databases]
				q.Push(start, tickets[(i*17)%size.accounts])
				t, _ := q.Pop(start)
				q.Done(start, t, ms(5), false)
			}
		})
	}
}

// Guards against a statement that takes a slot while all connections are in use by transactions, which then get none.
func TestStatementsNeedAConnection(t *testing.T) {
	q := admission.NewWith(admission.Settings{Slots: 2, Fixed: true, Connections: 1})
	push(q, "a", 2, admission.Ticket{})
	first, result := q.Pop(start)
	require.Equal(t, admission.Admitted, result)
	q.Done(start, first, ms(5), false)
	_, result = q.Pop(start)
	require.Equal(t, admission.None, result, "the first one still has its connection")
	push(q, "b", 1, admission.Ticket{InTransaction: true})
	_, result = q.Pop(start)
	require.Equal(t, admission.Admitted, result)
	q.ReleaseConnection()
	_, result = q.Pop(start)
	require.Equal(t, admission.Admitted, result)
}
