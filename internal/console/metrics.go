package console

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"runtime/metrics"

	"fireflyrudder.example/fireflyrudder/internal/histogram"
)

// prefix is the prefix of every name in /metrics.
const prefix = "fireflyrudder_"

// metrics writes the metrics of the process in the Prometheus text format. The keys of a map become
// labels, and a histogram becomes a summary.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if s.process.Vars != nil {
		s.process.Vars.Do(func(kv expvar.KeyValue) { writeVar(w, prefix+s.process.Name+"_"+kv.Key, kv.Value) })
	}
	writeRuntime(w)
}

// writeVar writes one expvar variable.
func writeVar(w io.Writer, name string, v expvar.Var) {
	if m, ok := v.(*expvar.Map); ok {
		m.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, "%s{kind=%q} %s\n", name, kv.Key, kv.Value) })
		return
	}
	if h, ok := v.(*histogram.Histogram); ok {
		writeSummary(w, name, h.Snapshot())
		return
	}
	fmt.Fprintf(w, "%s %s\n", name, v)
}

// writeSummary writes a histogram as a summary.
func writeSummary(w io.Writer, name string, s histogram.Snapshot) {
	for _, q := range []struct {
		quantile string
		value    float64
	}{{"0.5", s.P50}, {"0.9", s.P90}, {"0.99", s.P99}, {"1", s.Max}} {
		fmt.Fprintf(w, "%s_seconds{quantile=%q} %g\n", name, q.quantile, q.value)
	}
	fmt.Fprintf(w, "%s_seconds_sum %g\n%s_seconds_count %d\n", name, s.Sum, name, s.Count)
}

// writeRuntime writes the memory use and the number of goroutines of the process.
func writeRuntime(w io.Writer) {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/objects:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	for i, name := range []string{"memory_bytes", "heap_bytes", "goroutines"} {
		fmt.Fprintf(w, "%s%s %d\n", prefix, name, samples[i].Value.Uint64())
	}
}
