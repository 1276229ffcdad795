package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report is the result of a run with the four measures of the design page: M1 reads served by replicas, M2 time
// without writes, M3 fairness between client accounts, M4 refusals within the contracted rate.
type Report struct {
	Workload          string          `json:"workload"`
	Seed              uint64          `json:"seed"`
	Duration          time.Duration   `json:"lasted"`   // nanoseconds
	ReplicaShare      float64         `json:"replica"`  // M1: share of reads that replicas served, of the reads whose server is known
	UnknownShare      float64         `json:"unknown"`  // M1: share of reads whose server is unknown
	WriteGap          time.Duration   `json:"gap"`      // M2: longest time without an acknowledged write on any route; nanoseconds
	WriteStall        time.Duration   `json:"stall"`    // M2: the same, counted only while a write was due; nanoseconds
	WorstAccount      string          `json:"worst"`    // M3: account within its rate with the lowest goodput; of equals, the one with the highest p99
	JainIndex         float64         `json:"jain"`     // M3: Jain fairness index of the goodput of the accounts within their rate
	RefusedWithinRate map[string]int  `json:"wrongful"` // M4: refusals of accounts within their rate, by SQLSTATE
	RefusedShare      float64         `json:"share"`    // M4: these refusals as a share of the requests of those accounts
	Accounts          []AccountReport `json:"accounts"`
	Audit             Audit           `json:"audit"`
	Passed            bool            `json:"passed"` // the audit found nothing
}

// summarize computes the measures from the accounts.
func (r *Report) summarize() {
	served := map[Served]int{}
	r.RefusedWithinRate = map[string]int{}
	var goodputs []float64
	sent, refused := 0, 0
	var worst *AccountReport
	for i := range r.Accounts {
		a := &r.Accounts[i]
		for s, n := range a.Served {
			served[s] += n
		}
		if a.ExceedsRate {
			continue
		}
		goodputs = append(goodputs, a.Goodput)
		sent += a.WithinRate
		for state, n := range a.Refusals {
			r.RefusedWithinRate[state] += n
			refused += n
		}
		if worst == nil || a.Goodput < worst.Goodput || (a.Goodput == worst.Goodput && a.P99 > worst.P99) {
			worst = a
		}
	}
	if worst != nil {
		r.WorstAccount = worst.Name
	}
	r.ReplicaShare = ratio(served[ServedReplica], served[ServedReplica]+served[ServedPrimary])
	r.UnknownShare = ratio(served[ServedUnknown], served[ServedReplica]+served[ServedPrimary]+served[ServedUnknown])
	r.RefusedShare = ratio(refused, sent)
	r.JainIndex = jainIndex(goodputs)
	r.Passed = r.Audit.Passed()
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// jainIndex returns 1 if all shares are equal and 1/n if one has everything.
func jainIndex(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, s := range shares {
		sum += s
		squares += s * s
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// Write writes the report as text.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "workload %s, seed %d, %s\n", r.Workload, r.Seed, r.Duration.Round(time.Millisecond))
	fmt.Fprintf(w, "M1 reads served by replicas  %.1f%% (server unknown for %.1f%% of reads)\n", 100*r.ReplicaShare, 100*r.UnknownShare)
	fmt.Fprintf(w, "M2 longest write gap         %s (from when a write was due: %s)\n", r.WriteGap.Round(time.Millisecond), r.WriteStall.Round(time.Millisecond))
	fmt.Fprintf(w, "M3 worst-served account      %s, Jain index %.4f\n", r.WorstAccount, r.JainIndex)
	fmt.Fprintf(w, "M4 refused within rate       %.3f%%%s\n", 100*r.RefusedShare, formatCounts(r.RefusedWithinRate))
	fmt.Fprintf(w, "%-16s %7s %7s %7s %8s %9s %9s  %s\n", "account", "sent", "due", "done", "goodput", "p50 ms", "p99 ms", "other")
	for _, a := range r.Accounts {
		other := strings.TrimSpace(formatCounts(a.Refusals))
		if len(a.RefusalsAboveRate) > 0 {
			other += " above rate:" + formatCounts(a.RefusalsAboveRate)
		}
		if a.Unknown > 0 {
			other += fmt.Sprintf(" unknown=%d", a.Unknown)
		}
		if a.Reconnects > 0 {
			other += fmt.Sprintf(" moved=%d", a.Reconnects)
		}
		if a.Expired > 0 {
			other += fmt.Sprintf(" expired=%d", a.Expired)
		}
		fmt.Fprintf(w, "%-16s %7d %7d %7d %7.2f%% %9.2f %9.2f  %s\n", a.Name, a.Sent, a.WithinRate, a.Done, 100*a.Goodput, a.P50, a.P99, other)
	}
	r.Audit.write(w)
}

// write writes the result of the audit and the first findings of each kind.
func (a *Audit) write(w io.Writer) {
	result := "passed"
	if !a.Passed() {
		result = "FAILED"
	}
	fmt.Fprintf(w, "audit %s: %d writes acknowledged, %d unknown\n", result, a.Acknowledged, a.Unknown)
	const maxListed = 5
	for _, kind := range []struct {
		name string
		ids  []string
	}{
		{"acknowledged but lost", a.Lost}, {"reported as not run but present", a.Unexpected}, {"run twice", a.Duplicated},
		{"transaction applied in part", a.Partial}, {"own write not read", a.StaleOwn},
		{"stated age not kept", a.StaleAge}, {"not audited", a.Unaudited},
	} {
		if len(kind.ids) > 0 {
			fmt.Fprintf(w, "  %s: %d, such as %s\n", kind.name, len(kind.ids), strings.Join(kind.ids[:min(maxListed, len(kind.ids))], "; "))
		}
	}
}

func formatCounts(m map[string]int) string {
	var b strings.Builder
	for _, s := range slices.Sorted(maps.Keys(m)) {
		fmt.Fprintf(&b, " %s=%d", s, m[s])
	}
	return b.String()
}
