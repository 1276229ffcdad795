package load

import (
	"sort"
	"sync"
	"time"
)

// Verdict is what the caller learned about a write.
type Outcome uint8

// Verdicts of a write.
const (
	Pending Outcome = iota
	Acknowledged
	NotRun
	Unknown
)

// entry is one write that was sent.
type entry struct {
	session string
	whole   bool
	counts  bool // for gaps: accounts above their rate wait for their own excess
	verdict Outcome
}

// acknowledged is a write with the time at which its acknowledgement arrived.
type acknowledged struct {
	id string
	at time.Time
}

// ledger records the writes on one route and what must be visible. It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	writes   map[string]entry
	sessions []string
	acked    []acknowledged // in order of time
	gap      time.Duration  // longest time without an acknowledgement
	stall    time.Duration  // the same, counted only from when a write was due
	since    time.Time      // when a write was due that no acknowledgement followed yet, or zero
	pending  int            // writes being carried out
	first    time.Time
	last     time.Time
}

func newLedger() *ledger {
	return &ledger{writes: map[string]entry{}}
}

// begin notes a write that is due and about to be sent. Its outcome is unknown until finish or record.
func (l *ledger) begin(due time.Time, id, session string, whole, counts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes[id] = entry{session, whole, counts, Unknown}
	if !counts {
		return
	}
	l.pending++
	if !l.since.IsZero() {
		return
	}
	l.since = due
	if due.Before(l.last) {
		l.since = l.last
	}
}

// record notes the verdict on a write that began.
func (l *ledger) record(now time.Time, id, session string, whole bool, v Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.writes[id].counts
	l.writes[id] = entry{session, whole, counts, v}
	if counts {
		l.pending--
	}
	if v != Acknowledged {
		return
	}
	l.acked = append(l.acked, acknowledged{id, now})
	if !counts {
		return
	}
	l.stall = max(l.stall, now.Sub(l.since))
	l.since = time.Time{}
	if l.pending > 0 {
		l.since = now
	}
	if l.first.IsZero() {
		l.first = now
	} else {
		l.gap = max(l.gap, now.Sub(l.last))
	}
	l.last = now
}

// finish closes the last gap and returns the longest gap and stall. A route whose writes all failed
// counts as one gap.
func (l *ledger) finish(began, now time.Time) (gap, stall time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stall = l.stall
	if !l.since.IsZero() {
		stall = max(stall, now.Sub(l.since))
	}
	switch {
	case len(l.writes) == 0:
		return 0, 0
	case l.first.IsZero():
		return now.Sub(began), stall
	}
	return max(l.gap, l.first.Sub(began), now.Sub(l.last)), stall
}

// due returns the newest write that was acknowledged before a time.
func (l *ledger) due(before time.Time) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := sort.Search(len(l.acked), func(i int) bool { return !l.acked[i].at.Before(before) })
	for i > 0 && !l.acked[i-1].at.Before(before) {
		i-- // entries are noted slightly out of order
	}
	if i == 0 {
		return "", false
	}
	return l.acked[i-1].id, true
}

// Audit is the result of comparing the database with what callers were told.
type Audit struct {
	Acknowledged int      `json:"acknowledged"` // writes
	Unknown      int      `json:"unknown"`      // writes whose outcome callers do not know
	Lost         []string `json:"lost"`         // acknowledged but absent
	Unexpected   []string `json:"invented"`     // reported as not run but present
	Duplicated   []string `json:"doubled"`      // ran twice
	Partial      []string `json:"torn"`         // sessions whose counter disagrees with their transactions
	StaleOwn     []string `json:"stale_own"`    // reads that missed the session's own write
	StaleAge     []string `json:"stale_age"`    // reads that missed a write older than the stated age
	Unaudited    []string `json:"unaudited"`    // routes whose content could not be read at the end
}

// Passed reports whether nothing was violated.
func (a *Audit) Passed() bool {
	return len(a.Lost)+len(a.Unexpected)+len(a.Duplicated)+len(a.Partial)+len(a.StaleOwn)+len(a.StaleAge)+len(a.Unaudited) == 0
}

// add joins two audits.
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

// compare checks the ledger against the rows found at the end: how often each id is present, and the
// counter of each session, which each explicit transaction raises by one.
func (l *ledger) compare(present map[string]int, counters map[string]int) Audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a Audit
	whole := map[string]int{}
	for id, e := range l.writes {
		n := present[id]
		if e.whole {
			whole[e.session] += n
		}
		switch e.verdict {
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
		if n, ok := counters[session]; !ok || whole[session] != n {
			a.Partial = append(a.Partial, session)
		}
	}
	sort.Strings(a.Lost)
	sort.Strings(a.Unexpected)
	sort.Strings(a.Duplicated)
	sort.Strings(a.Partial)
	return a
}
