package load

import (
	"slices"
	"time"
)

// Outcome and SQLSTATE of an error, as sessions classify it.
var (
	OutcomeOf = outcomeOf
	StateOf   = stateOf
)

// Ledger is the ledger of one route.
type Ledger = ledger

// NewLedger returns an empty ledger.
var NewLedger = newLedger

// Record, Compare, NewestBefore and Finish call the unexported methods.
func (l *ledger) Record(now time.Time, id, session string, transaction bool, outcome Outcome) {
	l.record(now, id, session, transaction, outcome)
}

func (l *ledger) Compare(present, counters map[string]int) Audit { return l.compare(present, counters) }

func (l *ledger) NewestBefore(before time.Time) (string, bool) { return l.newestBefore(before) }

func (l *ledger) Finish(started, now time.Time) (gap, stall time.Duration) {
	return l.finish(started, now)
}

// Begin adds a write, and its session if it is new.
func (l *ledger) Begin(due time.Time, id, session string, transaction bool) {
	if !slices.Contains(l.sessions, session) {
		l.sessions = append(l.sessions, session)
	}
	l.begin(due, id, session, transaction, true)
}

// Arrivals returns the due times of the requests of an account.
func (w *Workload) Arrivals(a *Account) []time.Duration {
	var due []time.Duration
	for _, x := range w.schedule(a) {
		due = append(due, x.due)
	}
	return due
}

// Summarize computes the measures from the accounts.
func (r *Report) Summarize() { r.summarize() }
