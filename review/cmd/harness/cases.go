package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Bounds of the small sites that the checks use.
const (
	stableWindow = 4 * time.Second
	grace        = 6 * time.Second
	drainBound   = 7 * time.Second
	lossSlack    = 200 * time.Millisecond
	configApply  = 3 * time.Second
)

// between returns a time between two.
func between(least, most time.Duration) time.Duration {
	return least + rand.N(most-least)
}

// syncReplica: the service has sync_replicas 1. One replica receives nothing for a while, and the primary crashes meanwhile.
// The other replica has every acknowledged commit and serves reads.
func syncReplica(s *site, trouble bool) (bool, error) {
	d, err := begin(s, 1, func(write bool) time.Duration {
		if write {
			return between(4*time.Millisecond, 12*time.Millisecond)
		}
		return between(60*time.Millisecond, 120*time.Millisecond)
	})
	if err != nil {
		return false, err
	}
	l := &load{site: s, stop: make(chan struct{})}
	for n := range 4 {
		l.add(fmt.Sprintf("writer%d", n), primaryRoute, s.machines[n:], func(n int) string { return fmt.Sprintf("WRITE seat%d x", n) }, 40*time.Millisecond, true)
	}
	for n := range 12 {
		l.add(fmt.Sprintf("reader%d", n), boundedRoute, s.machines[n%len(s.machines):], func(n int) string { return fmt.Sprintf("READ seat%d", n) }, 2*time.Millisecond, true)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		primary, deaf := d.primary(), d.replicas()[0]
		d.setDeaf(deaf, true)
		time.Sleep(2500 * time.Millisecond)
		d.crash(primary)
		time.Sleep(4 * time.Second)
		d.setDeaf(deaf, false) // after 6.5 s
		time.Sleep(3 * time.Second)
		if err := d.restart(primary); err != nil { // after 7 s
			return false, err
		}
	} else {
		time.Sleep(9500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	acknowledged := map[string]bool{}
	served := 0
	for _, q := range l.end() {
		if q.outcome == done {
			served++
			acknowledged[q.id] = strings.HasPrefix(q.text, "WRITE")
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var lost []string
	for _, id := range d.lost {
		if acknowledged[id] {
			lost = append(lost, id)
		}
	}
	s.record.say("%d statements served, %d commits in the log, %d promotions, %d commits rolled back by them, of these %d acknowledged to clients",
		served, len(d.log), d.term-1, len(d.lost), len(lost))
	if len(lost) > 0 {
		s.record.say("LOST: acknowledged commits that are not in the log of the instance that was promoted: %s", strings.Join(lost, " "))
	}
	return len(lost) == 0, nil
}

// busyStop: an entry VM gets SIGTERM while clients send one statement after the other on their sessions.
func busyStop(s *site, trouble bool) (bool, error) {
	d, err := begin(s, 0, func(bool) time.Duration { return between(60*time.Millisecond, 240*time.Millisecond) })
	if err != nil {
		return false, err
	}
	target := s.machines[1] // without a disk
	l := &load{site: s, stop: make(chan struct{})}
	for n := range 12 {
		l.add(fmt.Sprintf("reader%d", n), boundedRoute, []*machine{target}, func(n int) string { return fmt.Sprintf("READ seat%d", n) }, 2*time.Millisecond, false)
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	term := time.Now()
	if trouble {
		s.signal(target.entry, syscall.SIGTERM)
	}
	time.Sleep(grace + time.Second)
	all := l.end()
	d.mu.Lock()
	defer d.mu.Unlock()
	served, broken, excused := 0, 0, 0
	for _, q := range all {
		if q.outcome == done {
			served++
		}
		if q.outcome != cut || q.end.After(term.Add(grace+time.Second)) {
			continue
		}
		at := slices.IndexFunc(d.runs, func(r run) bool { return r.id == q.id })
		passedOn := at >= 0
		switch {
		case !passedOn && q.end.Sub(q.sent) <= lossSlack:
			s.record.add("verdict", "%s: not passed on, ended within loss_slack_ms", q.id)
			excused++
			continue
		case q.end.Sub(q.sent) >= 2*time.Second:
			s.record.add("verdict", "%s: the timeout of the route was reached", q.id)
			excused++
			continue
		case passedOn && d.runs[at].ended.After(term.Add(grace*5/6)) && q.sent.Before(term.Add(3*time.Second)):
			s.record.add("verdict", "%s: the instance was at work in the last sixth of grace_s", q.id)
			excused++
			continue
		}
		broken++
		detail := "not passed on"
		if passedOn {
			detail = fmt.Sprintf("run by %s until %.3f s after SIGTERM", d.runs[at].server, d.runs[at].ended.Sub(term).Seconds())
		}
		s.record.say("LOST: %s was sent %.3f s after SIGTERM, and its connection ended at %.3f s without an answer; %s",
			q.id, q.sent.Sub(term).Seconds(), q.end.Sub(term).Seconds(), detail)
	}
	s.record.say("%d statements served, %d cut, %d ends excused", served, broken, excused)
	return broken == 0, nil
}

// oddReport: a status report of another writer, with fields missing, names an instance that leaves later.
func oddReport(s *site, trouble bool) (bool, error) {
	d, err := begin(s, 0, func(bool) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) })
	if err != nil {
		return false, err
	}
	l := &load{site: s, stop: make(chan struct{})}
	for n := range 6 {
		l.add(fmt.Sprintf("reader%d", n), boundedRoute, s.machines[n:], func(n int) string { return fmt.Sprintf("READ seat%d", n) }, 50*time.Millisecond, true)
	}
	leaving := d.replicas()[0]
	if trouble {
		d.mu.Lock()
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"state":"ready","db_role":"replica","sequence":%d,"born":%d}`,
			service, leaving.address, leaving.zone, leaving.sequence+1000, leaving.born)
		d.mu.Unlock()
		status := s.request(s.machines[0], http.MethodPut, "/instances/"+leaving.id, body, time.Second)
		s.record.add("writer", "PUT /instances/%s %s: %d", leaving.id, body, status)
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	d.drain(leaving)
	time.Sleep(drainBound + 3*time.Second)
	d.leave(leaving)
	time.Sleep(2 * time.Second)
	return d.checkDrained(leaving, l.end())
}

// revokedKey: a key is withdrawn while its client is in a transaction, which it ends 11 s later. No pause in it is as long as
// tx_idle_ms.
func revokedKey(s *site, trouble bool) (bool, error) {
	if _, err := begin(s, 0, func(bool) time.Duration { return between(4*time.Millisecond, 16*time.Millisecond) }); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	c, err := s.open("client", s.machines[1], primaryRoute, clientKey)
	if err != nil {
		return false, err
	}
	defer c.close()
	c.query("BEGIN", 2*time.Second)
	c.query("WRITE seat0 x", 2*time.Second)
	if trouble {
		if err := s.publish(strings.Replace(configuration(9, 0, 2*time.Second), clientKey, "another", 1)); err != nil {
			return false, err
		}
	}
	acked := time.Now()
	late := 0
	for n := range 6 {
		time.Sleep(2200 * time.Millisecond)
		text := fmt.Sprintf("WRITE seat%d x", n+1)
		if n == 5 {
			text = "COMMIT"
		}
		if q := c.query(text, 2*time.Second); trouble && q.outcome == done && q.sent.Sub(acked) > configApply {
			late++
			s.record.say("%s (%s) sent %.3f s after the ack of the configuration without its key: %s", q.id, q.text, q.sent.Sub(acked).Seconds(), q.answer)
		}
	}
	s.record.say("%d statements with a withdrawn key were served later than config_apply_ms", late)
	return late == 0, nil
}

// drainPrimary: the primary of a service leaves, while the platform answers no orders.
func drainPrimary(s *site, trouble bool) (bool, error) {
	d, err := begin(s, 0, func(write bool) time.Duration { return between(4*time.Millisecond, 60*time.Millisecond) })
	if err != nil {
		return false, err
	}
	l := &load{site: s, stop: make(chan struct{})}
	for n := range 12 {
		l.add(fmt.Sprintf("writer%d", n), primaryRoute, s.machines[n%len(s.machines):], func(n int) string { return fmt.Sprintf("WRITE seat%d x", n) }, 20*time.Millisecond, true)
	}
	if err := d.addInstance(zones[0]); err != nil { // the successor starts before the other one leaves
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	leaving := d.primary()
	if trouble {
		d.mu.Lock()
		d.silent = true
		d.mu.Unlock()
		s.record.add("case", "the platform answers no orders from now on")
	}
	d.drain(leaving)
	time.Sleep(drainBound + 3*time.Second)
	d.leave(leaving) // "a little longer" than drain_ms after the ack
	time.Sleep(2 * time.Second)
	if trouble {
		d.mu.Lock()
		d.silent = false
		d.mu.Unlock()
		s.record.add("case", "the platform answers again")
	}
	time.Sleep(3 * time.Second)
	return d.checkDrained(leaving, l.end())
}

// checkDrained checks that no request arrived at a leaving instance later than drain_ms after the ack of its report. It counts
// single statements and the first of a transaction.
func (d *database) checkDrained(leaving *instance, all []request) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leaving.drainAcked.IsZero() {
		return false, fmt.Errorf("%w: draining was not acknowledged", errCannotRun)
	}
	served, late, unknown := 0, 0, 0
	for _, q := range all {
		switch {
		case q.outcome == done:
			served++
		case strings.Contains(q.answer, "INDOUBT") || strings.Contains(q.answer, "TIMEOUT"):
			unknown++
		}
	}
	for _, r := range d.runs {
		after := r.arrived.Sub(leaving.drainAcked)
		if r.server != leaving.id || !r.first || after <= drainBound || strings.HasPrefix(r.id, "warm") {
			continue
		}
		if late++; late <= 5 {
			d.site.record.say("DRAIN: %s (%s) arrived at %s %.3f s after its draining was acknowledged", r.id, r.text, r.server, after.Seconds())
		}
	}
	d.site.record.say("%d statements served, %d with an unknown outcome, %d promotions, %d requests at the leaving instance later than drain_ms after the ack",
		served, unknown, d.term-1, late)
	return late == 0, nil
}
