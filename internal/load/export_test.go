package load

import (
	"slices"
	"time"
)

// Verdict and state of an error, as callers classify it.
var (
	VerdictOf = verdict
	StateOf   = stateOf
)

// Ledger is the ledger of one route.
type Ledger = ledger

// NewLedger returns an empty ledger.
var NewLedger = newLedger

// Record, Compare, Due and Finish expose the ledger.
func (l *ledger) Record(now time.Time, id, session string, whole bool, v Outcome) {
	l.record(now, id, session, whole, v)
}

func (l *ledger) Compare(present, counters map[string]int) Audit { return l.compare(present, counters) }

func (l *ledger) Due(before time.Time) (string, bool) { return l.due(before) }

func (l *ledger) Finish(began, now time.Time) (gap, stall time.Duration) { return l.finish(began, now) }

// Begin notes a write, and its session if it is new.
func (l *ledger) Begin(due time.Time, id, session string, whole bool) {
	if !slices.Contains(l.sessions, session) {
		l.sessions = append(l.sessions, session)
	}
	l.begin(due, id, session, whole, true)
}

// Arrivals returns the due times of an account.
func (w *Workload) Arrivals(a *Account) []time.Duration {
	var due []time.Duration
	for _, x := range w.schedule(a) {
		due = append(due, x.due)
	}
	return due
}

// Summarize computes the measures.
func (r *Report) Summarize() { r.summarize() }
