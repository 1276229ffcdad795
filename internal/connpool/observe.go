package connpool

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Silence returns for how long the instance has left statements on the connections of this VM unanswered; 0 if it
// answers.
func (p *Pool) Silence(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats.Silence(now)
}

// Observed reports whether the connections of this VM show if the instance answers, as of the period before now.
func (p *Pool) Observed(now time.Time, period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats.Observed(now, period)
}

// observeSent records that statements are sent to the instance, or a connection is opened.
func (p *Pool) observeSent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Sent(now)
}

// observeEnd records whether the instance answered.
func (p *Pool) observeEnd(now, sent time.Time, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		p.stats.Answered(now, sent, position.Position{}, false)
		return
	}
	p.stats.Failed(now)
}

// observeCanceled records that an attempt to open a connection was given up, which says nothing about the instance.
func (p *Pool) observeCanceled(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Refused(now)
}
