package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, one line each, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// since returns the seconds between the start of the record and a time.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// add writes one line.
func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %-12s %s\n", r.since(time.Now()), who, fmt.Sprintf(format, args...))
}

// say writes one line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.add("verdict", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}
