package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the machine is frozen.
	freezeTime = 3400 * time.Millisecond
	// announceAfter is the time from the freeze to the announcement of the primary.
	announceAfter = 200 * time.Millisecond
	// stableWindow is the time after a disruption after which a machine is in touch.
	stableWindow = 4 * time.Second
	// drainPlay is how long the case goes on after the announcement.
	drainPlay = 11 * time.Second
)

// playDrain ends a primary as planned while the platform is down and one machine, which serves callers only, is frozen.
func playDrain(s *site, trouble disruption) error {
	c, err := startCluster(s, "ledger", 11, 40, false)
	if err != nil {
		return err
	}
	if err := s.configure(2, []object{route("orders", "primary", "ledger")}, []object{service("ledger")}); err != nil {
		return err
	}
	if err := s.awaitReady("orders", 20*time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	frozen := s.machines[len(s.machines)-1]
	if trouble != none {
		s.platform.setDown(true)
	}
	if trouble == full {
		s.record.printf("machine %s freezes", frozen.name)
		frozen.signal("entry", syscall.SIGSTOP)
	}
	time.Sleep(announceAfter)
	c.mu.Lock()
	old := c.instances[c.primary]
	c.mu.Unlock()
	started := time.Now()
	go old.leave(drainPlay + time.Second)
	time.Sleep(freezeTime - announceAfter)
	if trouble == full {
		frozen.signal("entry", syscall.SIGCONT)
		s.record.printf("machine %s wakes", frozen.name)
	}
	time.Sleep(stableWindow)
	s.record.printf("machine %s is in touch", frozen.name)
	s.mu.Lock()
	s.watched = true
	s.mu.Unlock()
	for n := 0; time.Since(started) < drainPlay; n++ {
		if err := drainClient(s, frozen, n); err != nil {
			s.record.printf("client: %v", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// drainClient runs one write at a machine.
func drainClient(s *site, m *machine, n int) error {
	c, err := s.connect(m, fmt.Sprintf("d%d", n), "orders")
	if err != nil {
		return err
	}
	defer c.conn.Close()
	_, err = c.do(newID(), "WRITE item1 data")
	return err
}

// written checks a write that runs at an instance. The caller holds the lock of the cluster.
func (s *site) written(i *instance, id string) {
	s.mu.Lock()
	watched := s.watched
	s.mu.Unlock()
	if since := time.Since(i.left); watched && !i.left.IsZero() && since > drainTime {
		s.record.breakRule("DRAIN: write %s reaches %s %s after the acknowledgement that it leaves", id, i.id, since.Round(time.Millisecond))
	}
}
