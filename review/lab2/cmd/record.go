package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string // breaks of the rule that were seen
}

// newRecord opens the record file of a case.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// printf adds a line with the time since the start.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// breakRule adds a line on a break of the rule.
func (r *record) breakRule(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.printf("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// breaks returns the breaks so far.
func (r *record) breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
