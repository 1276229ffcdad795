package load

import (
	"sort"
	"sync"
	"time"
)

// Outcome is what the client learned about a write.
type Outcome uint8

// Outcomes of a write.
const (
	Pending Outcome = iota
	Acknowledged
	NotRun
	Unknown
)

// writeRecord is one write that was sent.
type writeRecord struct {
	session      string
	transaction  bool
	countsForGap bool // not set for accounts above their rate, whose writes wait because of their own excess
	outcome      Outcome
}

// ackedWrite is a write with the time at which its acknowledgement arrived.
type ackedWrite struct {
	id string
	at time.Time
}

// ledger records the writes on one route, from which follows what reads must return. It is safe for
// concurrent use.
type ledger struct {
	mu           sync.Mutex
	writes       map[string]writeRecord
	sessions     []string
	acked        []ackedWrite  // nearly in order of time, since sessions add entries concurrently
	gap          time.Duration // longest time between two acknowledgements of writes that count for it
	stall        time.Duration // the same, counted only while a write was due
	unackedSince time.Time     // when the oldest write was due that no acknowledgement has followed, or zero
	pending      int           // writes in progress
	firstAck     time.Time
	lastAck      time.Time
}

func newLedger() *ledger {
	return &ledger{writes: map[string]writeRecord{}}
}

// begin adds a write that is about to be sent. Its outcome is Unknown until record sets it.
func (l *ledger) begin(due time.Time, id, session string, transaction, countsForGap bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes[id] = writeRecord{session, transaction, countsForGap, Unknown}
	if !countsForGap {
		return
	}
	l.pending++
	if !l.unackedSince.IsZero() {
		return
	}
	l.unackedSince = due
	if due.Before(l.lastAck) {
		l.unackedSince = l.lastAck
	}
}

// record sets the outcome of a write added by begin.
func (l *ledger) record(now time.Time, id, session string, transaction bool, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	countsForGap := l.writes[id].countsForGap
	l.writes[id] = writeRecord{session, transaction, countsForGap, outcome}
	if countsForGap {
		l.pending--
	}
	if outcome != Acknowledged {
		return
	}
	l.acked = append(l.acked, ackedWrite{id, now})
	if !countsForGap {
		return
	}
	l.stall = max(l.stall, now.Sub(l.unackedSince))
	l.unackedSince = time.Time{}
	if l.pending > 0 {
		l.unackedSince = now
	}
	if l.firstAck.IsZero() {
		l.firstAck = now
	} else {
		l.gap = max(l.gap, now.Sub(l.lastAck))
	}
	l.lastAck = now
}

// finish closes the last gap at now and returns the longest gap and stall. Both are 0 if no write was sent. If
// none that counts was acknowledged, the gap is the time from started to now.
func (l *ledger) finish(started, now time.Time) (gap, stall time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stall = l.stall
	if !l.unackedSince.IsZero() {
		stall = max(stall, now.Sub(l.unackedSince))
	}
	switch {
	case len(l.writes) == 0:
		return 0, 0
	case l.firstAck.IsZero():
		return now.Sub(started), stall
	}
	return max(l.gap, l.firstAck.Sub(started), now.Sub(l.lastAck)), stall
}

// newestBefore returns the newest write that was acknowledged before a time.
func (l *ledger) newestBefore(before time.Time) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := sort.Search(len(l.acked), func(i int) bool { return !l.acked[i].at.Before(before) })
	for i > 0 && !l.acked[i-1].at.Before(before) {
		i-- // the entries are only nearly in order
	}
	if i == 0 {
		return "", false
	}
	return l.acked[i-1].id, true
}

// Audit is the result of comparing the database with the outcomes that clients received.
type Audit struct {
	Acknowledged int      `json:"acknowledged"` // writes
	Unknown      int      `json:"unknown"`      // writes whose outcome no client learned
	Lost         []string `json:"lost"`         // acknowledged but absent
	Unexpected   []string `json:"invented"`     // reported as not run but present
	Duplicated   []string `json:"doubled"`      // ran twice
	Partial      []string `json:"torn"`         // sessions whose counter disagrees with their transactions
	StaleOwn     []string `json:"stale_own"`    // reads that missed the session's own write
	StaleAge     []string `json:"stale_age"`    // reads that missed a write older than the stated age
	Unaudited    []string `json:"unaudited"`    // routes whose content could not be read at the end
}

// Passed reports whether the audit found no violation and covered all routes.
func (a *Audit) Passed() bool {
	return len(a.Lost)+len(a.Unexpected)+len(a.Duplicated)+len(a.Partial)+len(a.StaleOwn)+len(a.StaleAge)+len(a.Unaudited) == 0
}

// add adds the counts and findings of b.
func (a *Audit) add(b Audit) {
	a.Acknowledged += b.Acknowledged
	a.Unknown += b.Unknown
	a.Lost = append(a.Lost, b.Lost...)
	a.Unexpected = append(a.Unexpected, b.Unexpected...)
	a.Duplicated = append(a.Duplicated, b.Duplicated...)
	a.Partial = append(a.Partial, b.Partial...)
	a.StaleOwn = append(a.StaleOwn, b.StaleOwn...)
	a.StaleAge = append(a.StaleAge, b.StaleAge...)
	a.Unaudited = append(a.Unaudited, b.Unaudited...)
}

// compare checks the ledger against the rows found at the end of the run: how often each id is present, and
// the counter of each session, which each explicit transaction increments.
func (l *ledger) compare(present map[string]int, counters map[string]int) Audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a Audit
	transactions := map[string]int{}
	for id, e := range l.writes {
		n := present[id]
		if e.transaction {
			transactions[e.session] += n
		}
		switch e.outcome {
		case Acknowledged:
			a.Acknowledged++
			if n == 0 {
				a.Lost = append(a.Lost, id)
			}
		case NotRun:
			if n > 0 {
				a.Unexpected = append(a.Unexpected, id)
			}
		default:
			a.Unknown++
		}
		if n > 1 {
			a.Duplicated = append(a.Duplicated, id)
		}
	}
	for _, session := range l.sessions {
		if n, ok := counters[session]; !ok || transactions[session] != n {
			a.Partial = append(a.Partial, session)
		}
	}
	sort.Strings(a.Lost)
	sort.Strings(a.Unexpected)
	sort.Strings(a.Duplicated)
	sort.Strings(a.Partial)
	return a
}
