package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	return &record{file: f, out: bufio.NewWriter(f), started: now()}
}

// add writes a line: the seconds since the start, what it is about, and what happened.
func (r *record) add(kind, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-8s %s\n", now().Sub(r.started).Seconds(), kind, fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	r.file.Close()
}
