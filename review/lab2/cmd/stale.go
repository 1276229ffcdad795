package main

import (
	"fmt"
	"time"
)

const (
	staleRounds = 6
	// replicaLag is how late the lagging replica applies commits: 120 times as late as usual.
	replicaLag = 120 * normalLag
	// warmUp is how long a session reads before its write.
	warmUp = 800 * time.Millisecond
	// configurationGap is the time between two configurations.
	configurationGap = 330 * time.Millisecond
	// readPeriod is how long a session reads after its route is back.
	readPeriod = 600 * time.Millisecond
)

// need is what a read must see: a commit of its own session.
type need struct {
	service, commit string
	session         string
}

// ran checks a read that runs at an instance. The caller holds the lock of the cluster.
func (s *site) ran(c *cluster, i *instance, id string, conn *connection) {
	s.mu.Lock()
	n, ok := s.needs[id]
	s.mu.Unlock()
	if !ok || n.service != c.name {
		return
	}
	for at := i.visible(); at < len(c.log); at++ {
		for _, w := range c.log[at].writes {
			if w == n.commit {
				s.record.breakRule("STALE: read %s of session %s runs on %s with log %s, which lacks the session's commit %s at %d.%d, acknowledged before",
					id, n.session, i.id, conn.position(), w, c.log[at].term, at+1)
			}
		}
	}
}

// read runs a read that must see the session's commits.
func (c *session) read(service string) error {
	id := newID()
	if commit := c.commits[service]; commit != "" {
		c.site.mu.Lock()
		c.site.needs[id] = need{service, commit, c.name}
		c.site.mu.Unlock()
	}
	_, err := c.do(id, "READ item1")
	return err
}

// playStale moves a route to another service and back, while a session of it writes and reads and one replica lags.
func playStale(s *site, trouble disruption) error {
	first, err := startCluster(s, "ledger", 11, 400, false)
	if err != nil {
		return err
	}
	if _, err := startCluster(s, "annex", 21, 5, false); err != nil {
		return err
	}
	version := 1
	set := func(target string) error {
		version++
		return s.configure(version, []object{route("orders", "read_your_writes", target), route("other", "primary", "annex")},
			[]object{service("ledger"), service("annex")})
	}
	if err := set("ledger"); err != nil {
		return err
	}
	if err := s.awaitReady("orders", 20*time.Second); err != nil {
		return err
	}
	if err := s.awaitReady("other", 10*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble != none {
		s.record.printf("replica %s applies commits %s late", first.order[1], replicaLag)
		first.setLag(first.order[1], replicaLag)
	}
	for n := range staleRounds {
		if err := staleRound(s, n, trouble, set); err != nil {
			return fmt.Errorf("round %d: %w", n, err)
		}
	}
	return nil
}

// staleRound plays one session.
func staleRound(s *site, n int, trouble disruption, set func(target string) error) error {
	c, err := s.connect(s.machines[n%len(s.machines)], fmt.Sprintf("s%d", n), "orders")
	if err != nil {
		return err
	}
	defer c.conn.Close()
	for end := time.Now().Add(warmUp); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err := c.read("ledger"); err != nil {
			return err
		}
	}
	if _, err := c.write(); err != nil {
		return err
	}
	if trouble == full {
		if err := moveAndWrite(c, set); err != nil {
			return err
		}
	} else if _, err := c.write(); err != nil {
		return err
	}
	for end := time.Now().Add(readPeriod); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if err := c.read("ledger"); err != nil {
			return err
		}
	}
	return nil
}

// moveAndWrite moves the route to the other service, writes there, and moves it back.
func moveAndWrite(c *session, set func(target string) error) error {
	started := time.Now()
	if err := set("annex"); err != nil {
		return err
	}
	for deadline := time.Now().Add(3 * time.Second); ; {
		where, err := c.write()
		if err != nil {
			return err
		}
		if where == "annex" {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the route did not move")
		}
	}
	time.Sleep(time.Until(started.Add(configurationGap)))
	return set("ledger")
}
