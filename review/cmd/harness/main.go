// Command harness plays the cases of the review: it starts the programs of the deploy file as separate processes on loopback
// addresses, with stand-ins for the clients, the instances, the operator and the platform, and checks one rule.
//
// Usage: harness CASE RECORD. With TROUBLE=0 in the environment it leaves the disruption out.
// Exit codes: 0 the rule held; 1 it was broken; 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration ends a case that hangs.
const maxDuration = 110 * time.Second

// cases are the cases by name. Each returns whether its rule held. The last two have no folder; see REPORT.md.
var cases = map[string]func(*site, bool) (bool, error){
	"sync-replica":  syncReplica,
	"busy-stop":     busyStop,
	"drain-primary": drainPrimary,
	"odd-report":    oddReport,
	"revoked-key":   revokedKey,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	s, err := newSite(r)
	if err != nil {
		r.say("could not run: %v", err)
		return 2
	}
	defer s.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case", "%s, disruption: %t", os.Args[1], trouble)
	type outcome struct {
		held bool
		err  error
	}
	ended := make(chan outcome, 1)
	go func() {
		held, err := cases[os.Args[1]](s, trouble)
		ended <- outcome{held, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-ended:
	case <-stopped:
		o.err = errors.New("stopped")
	case <-time.After(maxDuration):
		o.err = errors.New("it takes too long")
	}
	switch {
	case o.err != nil:
		r.say("could not run: %v", o.err)
		return 2
	case !o.held:
		return 1
	}
	return 0
}
