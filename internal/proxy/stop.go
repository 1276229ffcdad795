package proxy

import (
	"time"

	"github.com/apex/log"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// Drain sets the phases of a planned stop, as times since its start.
type Drain struct {
	Idle time.Duration // sessions are closed as soon as they have no transaction and no statement
	Open time.Duration // open transactions are rolled back after their statement, and no other work begins
	// Answer is when statements in progress are answered, whatever became of them. connpool.AnswerGrace before it those that
	// wait are interrupted, and no further attempt begins; it is also the deadline of those that begin during the stop.
	Answer time.Duration
	Finish time.Duration // remaining connections are closed
	// Leave bounds the wait for the control group after that. The stop takes at most Finish plus Leave.
	Leave time.Duration
}

// lastAttempt returns the time since the start of the stop from which no attempt to run a statement begins, except a read
// whose proof arrives after it. The rest of Answer is for the answers to attempts in progress, whose outcome would not be known otherwise, and for telling callers that
// wait that their statement did not run.
func (d Drain) lastAttempt() time.Duration { return d.Answer - connpool.AnswerGrace }

// stopPhase is a phase of the life of a Proxy. A later one is larger.
type stopPhase int

const (
	phaseServing      stopPhase = iota
	phaseAnnounced              // not ready any more, but serving, because the load balancer still sends callers
	phaseClosing                // since Drain.Idle
	phaseRefusing               // since Drain.Open
	phaseInterrupting           // since Drain.lastAttempt
	phaseAnswering              // since Drain.Answer
	phaseCutting                // since Drain.Finish
)

// phase returns the phase of the stop at now.
func (p *Proxy) phase(now time.Time) stopPhase {
	started := p.stopStarted.Load()
	if started == nil {
		return phaseServing
	}
	d := p.options.Drain
	switch elapsed := now.Sub(*started); {
	case elapsed < d.Idle:
		return phaseAnnounced
	case elapsed >= d.Finish:
		return phaseCutting
	case elapsed >= d.Answer:
		return phaseAnswering
	case elapsed >= d.lastAttempt():
		return phaseInterrupting
	case elapsed >= d.Open:
		return phaseRefusing
	}
	return phaseClosing
}

// closing reports whether sessions are being closed, so that neither new ones nor statements of other entry VMs are taken.
func (p *Proxy) closing(now time.Time) bool { return p.phase(now) >= phaseClosing }

// deadline returns the deadline of a statement with a timeout. One that begins during a stop is answered before the VM ends.
func (p *Proxy) deadline(arrived time.Time, timeout time.Duration) time.Time {
	until := arrived.Add(timeout)
	started := p.stopStarted.Load()
	if started == nil {
		return until
	}
	if last := started.Add(p.options.Drain.lastAttempt()); last.Before(until) {
		return last
	}
	return until
}

// drain closes sessions as their statements are answered, and the rest according to Options.Drain. It also waits for the
// statements of other entry VMs on the connections of this one.
func (p *Proxy) drain() {
	started := p.options.Now()
	p.stopStarted.Store(&started)
	log.WithFields(log.Fields{"event": "stop", "sessions": p.sessionCount()}).Info("entry VM drains")
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for range ticker.C {
		phase := p.phase(p.options.Now())
		if phase < phaseClosing {
			continue
		}
		for _, s := range p.openSessions() {
			s.shutDown(phase)
		}
		if phase >= phaseInterrupting {
			p.interrupt()
		}
		if phase >= phaseAnswering {
			p.endAttempts()
		}
		if p.sessionCount() == 0 && !p.connectionsUsed() || phase == phaseCutting {
			return
		}
	}
}

// endAttempts makes the attempts in progress end at once, so that their callers are told what is known of them.
func (p *Proxy) endAttempts() {
	p.forward.Abort()
	for _, pool := range *p.pools.Load() {
		pool.CloseConnections()
	}
}

// connectionsUsed reports whether a statement or a transaction uses a connection of this VM, or waits for one.
func (p *Proxy) connectionsUsed() bool {
	for _, pool := range *p.pools.Load() {
		if load := pool.Load(); load.Open > load.Idle || load.Waiting > 0 {
			return true
		}
	}
	return false
}

// Finished reports whether the adapter must close the session now that its statement is answered, because the VM stops.
func (s *Session) Finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tx == nil && !s.failed && s.proxy.closing(s.proxy.options.Now())
}

// shutDown makes the adapter close the session if no statement runs and no transaction is open. From phaseRefusing on it ends
// an open transaction, and in phaseCutting it closes the connection at once.
func (s *Session) shutDown(phase stopPhase) {
	if phase == phaseCutting {
		s.close()
		return
	}
	if !s.mu.TryLock() {
		return // a statement is running; its end is followed by endForStop and Finished
	}
	defer s.mu.Unlock()
	s.endForStop(phase)
	if s.tx == nil && !s.failed {
		s.interrupt()
	}
}

// endForStop rolls an open transaction back if the time for it is over.
func (s *Session) endForStop(phase stopPhase) {
	if s.tx != nil && phase >= phaseRefusing {
		s.fail("the entry VM shuts down; the transaction was rolled back")
	}
}

// refuseForStop returns the answer to an operation that begins too late in a stop, or nil.
func (s *Session) refuseForStop(now time.Time, id string) *operation.Answer {
	if s.proxy.phase(now) < phaseRefusing {
		return nil
	}
	a := s.proxy.refuse(id, operation.Busy, reasonStop, "the entry VM shuts down; connect to another one")
	return &a
}
