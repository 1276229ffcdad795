// Command stand3 plays a case of the third review: it starts the programs of the deploy file on loopback addresses, with
// stand-ins for the instances, the platform, the operator and the clients, disturbs them, and checks one rule.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trouble is how much of the disturbance is played.
type trouble int

const (
	noTrouble   trouble = iota
	partTrouble         // without the event that the claim names last
	allTrouble
)

// play is one run of a case.
type play struct {
	record  *record
	site    *site
	trouble trouble
	folder  string
}

// cases are the cases by the name of their folder. Each returns an exit code.
var cases = map[string]func(p *play) int{
	"11": successorStartsEmpty,
	"12": shorterLogIsOrdered,
}

func fatal(format string, arguments ...any) {
	panic(couldNotRun(fmt.Sprintf(format, arguments...)))
}

// couldNotRun is the panic of a case that cannot run.
type couldNotRun string

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM RECORD")
		return failed
	}
	p := &play{trouble: allTrouble}
	switch os.Getenv("TROUBLE") {
	case "0":
		p.trouble = noTrouble
	case "part":
		p.trouble = partTrouble
	}
	var err error
	if p.folder, err = os.MkdirTemp("", "review-3-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(p.folder) //nolint:errcheck // a temporary folder
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() {
		if p.site != nil {
			p.site.end()
		}
		if p.record != nil {
			p.record.close()
		}
		if cause := recover(); cause != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", cause)
			code = failed
		}
	}()
	p.record = newRecord(os.Args[3])
	p.site = newSite(p.record, program, p.folder, reserveNetwork(), 3, 0)
	code = cases[os.Args[1]](p)
	p.record.add("result", "%s", map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[code])
	fmt.Println(map[int]string{held: "held", broken: "broken", failed: "could not run"}[code])
	return code
}

// startDatabase starts the machines and a service with one instance in each zone, whose first one leads, and publishes the
// first configuration. It returns once a write is served.
func (p *play) startDatabase(syncReplicas int) (*service, *cloud) {
	for _, m := range p.site.machines {
		m.start()
	}
	s := newService(p.record, "classes-db", syncReplicas, 3, p.site.controls())
	c := &cloud{record: p.record, service: s, at: p.site.network + ".200:8466"}
	c.up()
	for n, id := range []string{"i-c0", "i-a1", "i-b2"} {
		s.add(id, fmt.Sprintf("%s.%d:8080", p.site.network, 101+n), zone(n))
	}
	go s.run()
	if !p.site.configure(configuration(1, s.name, syncReplicas)) {
		fatal("no configuration was acknowledged")
	}
	for _, i := range s.instances {
		i.wake()
	}
	probe := p.caller(s, 0)
	defer probe.close()
	for n := 0; ; n++ {
		if id, answer := probe.query("WRITE first 1"); len(answer) > 4 && answer[:4] == "DONE" {
			s.acknowledge(id)
			break
		} else if n == 100 {
			fatal("no write was served: %s", answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.record.add("start", "writes are served: %s", s.positions())
	time.Sleep(2 * time.Second)
	return s, c
}

// caller returns a client of the machine with an index.
func (p *play) caller(s *service, n int) *caller {
	m := p.site.machines[n%len(p.site.machines)]
	return &caller{record: p.record, service: s, at: fmt.Sprintf("%s:%d", m.ip, frontendPort), route: "enroll"}
}

// writeFor lets clients of all machines write for a while.
func (p *play) writeFor(s *service, d time.Duration) {
	stop, done := make(chan struct{}), make(chan struct{})
	const clients = 6
	for n := range clients {
		c := p.caller(s, n)
		go func() {
			c.write(stop, 30*time.Millisecond)
			done <- struct{}{}
		}()
	}
	time.Sleep(d)
	close(stop)
	for range clients {
		<-done
	}
}

// verdict returns the exit code for the rule LOST.
func (p *play) verdict(s *service) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lost) == 0 {
		return held
	}
	p.record.add("rule", "LOST: %d acknowledged commits are not in the log of the instance that was promoted: %.200s", len(s.lost), fmt.Sprint(s.lost))
	return broken
}

// successorStartsEmpty is case 11.
func successorStartsEmpty(p *play) int {
	s, c := p.startDatabase(1)
	p.writeFor(s, 3*time.Second)
	time.Sleep(500 * time.Millisecond)
	primary, chosen := s.instances[0], s.instances[1]
	p.record.add("state", "all clients are quiet: %s", s.positions())
	if p.trouble != noTrouble {
		p.record.add("trouble", "the platform goes down, and the primary %s crashes", primary.id)
		c.down()
		primary.crash()
		time.Sleep(2 * time.Second)
		if p.trouble == allTrouble {
			p.record.add("trouble", "%s crashes", chosen.id)
			chosen.crash()
			time.Sleep(500 * time.Millisecond)
			p.record.add("trouble", "%s starts again under its id and holds nothing", chosen.id)
			chosen.restart(false)
		}
		time.Sleep(1500 * time.Millisecond)
		p.record.add("control", "orders so far, by instance and outcome: %s", p.site.orders())
		p.record.add("trouble", "the platform is back: %s", s.positions())
		c.up()
		time.Sleep(3 * time.Second)
		p.record.add("trouble", "%s comes back with its log", primary.id)
		primary.restart(true)
		time.Sleep(3 * time.Second)
	}
	p.writeFor(s, 2*time.Second)
	p.record.add("state", "%s", s.positions())
	return p.verdict(s)
}

// shorterLogIsOrdered is case 12.
func shorterLogIsOrdered(p *play) int {
	s, c := p.startDatabase(1)
	primary, other := s.instances[0], s.instances[2]
	done := make(chan struct{})
	go func() {
		p.writeFor(s, 10*time.Second)
		close(done)
	}()
	time.Sleep(3 * time.Second)
	if p.trouble != noTrouble {
		p.record.add("trouble", "the platform goes down, and the primary %s goes dark: %s", primary.id, s.positions())
		c.down()
		primary.setDark(true)
		time.Sleep(2 * time.Second)
		if p.trouble == allTrouble {
			p.record.add("trouble", "%s crashes: %s", other.id, s.positions())
			other.crash()
		}
		time.Sleep(500 * time.Millisecond)
		p.record.add("trouble", "%s answers again: %s", primary.id, s.positions())
		primary.setDark(false)
		time.Sleep(400 * time.Millisecond)
		if p.trouble == allTrouble {
			p.record.add("trouble", "%s comes back with its log", other.id)
			other.restart(true)
		}
		time.Sleep(2 * time.Second)
		p.record.add("control", "orders so far, by instance and outcome: %s", p.site.orders())
		p.record.add("trouble", "the platform is back: %s", s.positions())
		c.up()
	}
	<-done
	time.Sleep(2 * time.Second)
	p.record.add("state", "%s", s.positions())
	return p.verdict(s)
}
