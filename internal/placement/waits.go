package placement

import "time"

const (
	// freshReport is how long a report of expected waits is used.
	freshReport = 250 * time.Millisecond
	// minRetry and maxRetry bound the time after which a caller is told to come back, without its jitter of up to
	// retryJitter of it.
	minRetry, maxRetry = 20 * time.Millisecond, time.Second
	retryJitter        = 0.5
	// minSweptReports is the number of reports below which outdated ones are not looked for.
	minSweptReports = 16
)

// waitReport is a report of the entry VM that owns the connections to an instance.
type waitReport struct {
	at    time.Time
	waits []time.Duration // by priority from 0 on; never empty
}

// Waits are the latest reports of how long statements wait for a slot of an instance. The owner's queue shares the slots
// between client accounts, so the report for one says nothing certain about another. The zero value has no reports. It is
// not safe for concurrent use.
type Waits struct {
	latest   waitReport
	accounts map[string]waitReport // latest by client account
	sweepAt  int                   // number of accounts at which outdated reports are dropped
}

// Observe records a report for a client account. A report without waits changes nothing.
func (w *Waits) Observe(now time.Time, account string, waits []time.Duration) {
	if len(waits) == 0 {
		return
	}
	if w.accounts == nil {
		w.accounts, w.sweepAt = map[string]waitReport{}, minSweptReports
	}
	w.latest = waitReport{now, waits}
	w.accounts[account] = w.latest
	if len(w.accounts) < w.sweepAt {
		return
	}
	for name, r := range w.accounts {
		if now.Sub(r.at) >= freshReport {
			delete(w.accounts, name)
		}
	}
	w.sweepAt = max(2*len(w.accounts), minSweptReports)
}

// Forget drops all reports, because the entry VM that sent them is not used any more.
func (w *Waits) Forget() { *w = Waits{} }

// Expected returns the expected wait of a statement of a client account. ok is false without a fresh report for it.
func (w *Waits) Expected(now time.Time, account string, priority int) (wait time.Duration, ok bool) {
	return w.accounts[account].expected(now, priority)
}

// Latest returns the expected wait according to the latest report, for whichever client account.
func (w *Waits) Latest(now time.Time, priority int) (wait time.Duration, ok bool) {
	return w.latest.expected(now, priority)
}

// Age returns the time since the report for a client account.
func (w *Waits) Age(now time.Time, account string) time.Duration {
	return now.Sub(w.accounts[account].at)
}

// expected returns the reported wait without the time since the report. The last wait of the report holds for all less
// urgent priorities, which wait at least as long.
func (r waitReport) expected(now time.Time, priority int) (wait time.Duration, ok bool) {
	age := now.Sub(r.at)
	if len(r.waits) == 0 || age >= freshReport {
		return 0, false
	}
	return max(r.waits[min(max(priority, 0), len(r.waits)-1)]-age, 0), true
}

// Shortest returns the shortest expected wait of a statement at the instances that may run it, and the age of that report.
// ok is false if one of them has no fresh report for the client account, or if there are none.
func Shortest(now time.Time, instances []*Waits, account string, priority int) (wait, age time.Duration, ok bool) {
	for i, w := range instances {
		one, known := w.Expected(now, account, priority)
		if !known {
			return 0, 0, false
		}
		if i == 0 || one < wait {
			wait, age = one, w.Age(now, account)
		}
	}
	return wait, age, len(instances) > 0
}

// RetryAfter returns when a caller should come back whose statement is expected to wait. random is from 0 to 1; it keeps
// callers that were refused together from coming back together.
func RetryAfter(wait time.Duration, random float64) time.Duration {
	wait = min(max(wait, minRetry), maxRetry)
	return wait + time.Duration(retryJitter*random*float64(wait))
}
