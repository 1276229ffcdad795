package main

import (
	"errors"
	"fmt"
	"time"
)

// serveOn is how long an instance that leaves serves after its announcement: the time of the pages and a little longer.
const serveOn = drainTime + 500*time.Millisecond

// playFence replaces the primary of a service twice as planned, under two control leaders. In between the service leaves the
// configuration and comes back.
func playFence(s *site, trouble disruption) error {
	c, err := startCluster(s, "ledger", 11, 40, false)
	if err != nil {
		return err
	}
	if _, err := startCluster(s, "annex", 21, 5, false); err != nil {
		return err
	}
	both := []object{service("ledger"), service("annex")}
	routes := []object{route("orders", "primary", "ledger"), route("other", "primary", "annex")}
	if err := s.configure(2, routes, both); err != nil {
		return err
	}
	if err := s.awaitReady("orders", 20*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if err := c.releasePrimary(14); err != nil {
		return err
	}
	time.Sleep(serveOn)
	if trouble == full {
		if err := s.configure(5, routes[1:], both[1:]); err != nil {
			return err
		}
		time.Sleep(4 * time.Second)
		if err := s.configure(6, routes, both); err != nil {
			return err
		}
	}
	if err := s.awaitReady("orders", 20*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if err := s.replaceLeader(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return c.releasePrimary(15)
}

// replaceLeader restarts the control process that leads, as planned, and waits until another one leads.
func (s *site) replaceLeader() error {
	former := s.leader()
	if former == nil {
		return errors.New("no control leader")
	}
	s.record.printf("the control leader is %s", former.name)
	if err := former.restart("control"); err != nil {
		return err
	}
	for range 100 {
		if m := s.leader(); m != nil && m != former {
			s.record.printf("the control leader is %s", m.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no other control leader")
}

// releasePrimary starts a new instance and ends the primary as planned. It waits until another instance leads.
func (c *cluster) releasePrimary(host int) error {
	next, err := c.startInstance(fmt.Sprintf("%s.%d", c.site.network, host), "zone-a")
	if err != nil {
		return err
	}
	go next.announce()
	time.Sleep(2 * time.Second)
	c.mu.Lock()
	old := c.instances[c.primary]
	c.mu.Unlock()
	go old.leave(serveOn)
	for range 150 {
		if c.leader() != old.id {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s was not replaced", old.id)
}
