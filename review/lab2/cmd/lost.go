package main

import (
	"fmt"
	"time"
)

const (
	// deafTime is how long one replica receives nothing.
	deafTime = 6500 * time.Millisecond
	// primaryDown is how long the primary is down.
	primaryDown = 7 * time.Second
	// restartTime is how long the other replica takes to start again.
	restartTime = time.Second
)

// startSyncSite starts three services with one synchronous replica each, and configures them. It returns the first two.
func startSyncSite(s *site) (first, second *cluster, err error) {
	var started []*cluster
	var services, routes []object
	for n, name := range []string{"ledger", "annex", "archive"} {
		c, err := startCluster(s, name, 11+10*n, 40, true)
		if err != nil {
			return nil, nil, err
		}
		started = append(started, c)
		services = append(services, syncService(name, 1))
		routes = append(routes, route("db-"+name, "primary", name))
	}
	return started[0], started[1], s.configure(2, routes, services)
}

// playLost plays a service with one synchronous replica: one replica receives nothing for a while, the other one starts again,
// and the primary crashes.
func playLost(s *site, trouble disruption) error {
	c, _, err := startSyncSite(s)
	if err != nil {
		return err
	}
	if err := s.awaitReady("db-ledger", 20*time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble != none {
		c.setDeaf(c.order[1], true)
		time.AfterFunc(deafTime, func() { c.setDeaf(c.order[1], false) })
	}
	for n := range 20 {
		if err := lostClient(s, n); err != nil {
			return err
		}
	}
	if trouble == full {
		go c.restart(c.order[2], restartTime, false)
	}
	if trouble != none {
		time.Sleep(300 * time.Millisecond)
		c.restart(c.order[0], primaryDown, true)
	}
	time.Sleep(5 * time.Second)
	return nil
}

const (
	// reuseAfter is the time from the end of an instance to the start of another one at its address.
	reuseAfter = 2200 * time.Millisecond
	// crashAfter is the time from that start to the crash of the primary.
	crashAfter = 600 * time.Millisecond
)

// playReuse plays a service with one synchronous replica: one replica receives nothing for a while, the other one is gone for good
// and its address is used by another service, and the primary crashes.
func playReuse(s *site, trouble disruption) error {
	c, other, err := startSyncSite(s)
	if err != nil {
		return err
	}
	if err := s.awaitReady("db-ledger", 20*time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble != none {
		c.setDeaf(c.order[1], true)
		time.AfterFunc(deafTime, func() { c.setDeaf(c.order[1], false) })
	}
	for n := range 20 {
		if err := lostClient(s, n); err != nil {
			return err
		}
	}
	if trouble != none {
		gone := c.instances[c.order[2]]
		gone.stop()
		s.record.printf("instance %s is gone for good", gone.id)
		time.Sleep(reuseAfter)
		if trouble == full {
			next, err := other.startInstanceAt(gone.address, gone.zone)
			if err != nil {
				return err
			}
			s.record.printf("instance %s of %s starts at its address", next.id, other.name)
			go next.announce()
		}
		time.Sleep(crashAfter)
		c.restart(c.order[0], primaryDown, true)
	}
	time.Sleep(5 * time.Second)
	return nil
}

// restart crashes an instance and starts it again.
func (c *cluster) restart(id string, down time.Duration, keeps bool) {
	if err := c.instances[id].crash(down, keeps); err != nil {
		c.site.record.printf("%s did not start again: %v", id, err)
	}
}

// setDeaf sets whether a replica receives nothing.
func (c *cluster) setDeaf(id string, deaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[id].deaf = deaf
	c.site.record.printf("replica %s receives nothing: %t", id, deaf)
}

// lostClient runs one write.
func lostClient(s *site, n int) error {
	c, err := s.connect(s.machines[n%len(s.machines)], fmt.Sprintf("l%d", n), "db-ledger")
	if err != nil {
		return err
	}
	defer c.conn.Close()
	_, err = c.write()
	return err
}
