// Command lab2 plays the cases of the second review: the programs of the project run as processes of their own, and clients,
// instances and the platform are stand-ins that follow the users' pages.
//
// Exit codes: 0 the rule held; 1 it was broken; 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// limit bounds a case.
const limit = 115 * time.Second

// disruption is how much of the disruption of a case is played.
type disruption int

const (
	none disruption = iota // TROUBLE=0
	part                   // TROUBLE=part: without what the case blames; the rest is played
	full
)

// shownBreaks is the number of breaks that are printed; the record has all.
const shownBreaks = 3

// cases are the cases by name.
var cases = map[string]func(s *site, trouble disruption) error{
	"stale": playStale,
	"fence": playFence,
	"drain": playDrain,
	"lost":  playLost,
	"reuse": playReuse,
}

func main() {
	os.Exit(play(os.Args[1:]))
}

// playedDisruption returns what the environment asks for.
func playedDisruption() disruption {
	switch os.Getenv("TROUBLE") {
	case "0":
		return none
	case "part":
		return part
	}
	return full
}

// play plays a case: its name, the program and the folder for the record.
func play(args []string) int {
	const arguments = 3
	if len(args) != arguments || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE PROGRAM FOLDER")
		return unplayed
	}
	r, err := newRecord(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	s, err := newSite(r, args[1])
	if s != nil {
		defer s.end()
	}
	if err == nil {
		done, stop := make(chan error, 1), make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() { done <- cases[args[0]](s, playedDisruption()) }()
		select {
		case err = <-done:
		case <-stop:
			err = errors.New("stopped")
		case <-time.After(limit):
			err = fmt.Errorf("not over after %s", limit)
		}
	}
	for n, text := range r.breaks() {
		if n < shownBreaks {
			fmt.Println("broken:", text)
		}
	}
	fmt.Println("breaks:", len(r.breaks()))
	switch {
	case len(r.breaks()) > 0:
		return broken
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return unplayed
	}
	fmt.Println("the rule held")
	return held
}
