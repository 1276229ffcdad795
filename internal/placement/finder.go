// Package placement selects the instance of a database group that serves a statement, for package proxy. It
// uses the replies to earlier statements and the view of the control group.
//
// Package route does this for package entryvm, where the rounds of package watermark supply the positions of
// the instances.
package placement

import "time"

// ServerID is the name of a backend server.
type ServerID string

const (
	// notPrimaryWait is how long an instance that refused as not being the primary is not tried again: a
	// promotion takes some hundred milliseconds.
	notPrimaryWait = 150 * time.Millisecond
	// unreachableWait is how long an instance that did not answer is not tried while another may be primary.
	unreachableWait = 500 * time.Millisecond
)

// Finder finds the primary of one group from the replies of its instances and the view of the control group,
// whichever is newer. It is not safe for concurrent use.
type Finder struct {
	view        ServerID
	viewedAt    time.Time
	confirmed   ServerID // instance that proved last that it is primary
	confirmedAt time.Time
	retryAt     map[ServerID]time.Time // no request before this time
}

// NewFinder returns a Finder without a known primary.
func NewFinder() *Finder {
	return &Finder{retryAt: map[ServerID]time.Time{}}
}

// SetView records the primary that the control group reports.
func (f *Finder) SetView(now time.Time, primary ServerID) {
	if primary == f.view {
		return
	}
	f.view, f.viewedAt = primary, now
	delete(f.retryAt, primary)
}

// MarkPrimary records that the instance proved to be primary.
func (f *Finder) MarkPrimary(now time.Time, server ServerID) {
	f.confirmed, f.confirmedAt = server, now
	delete(f.retryAt, server)
}

// MarkNotPrimary records that the instance refused as not being the primary.
func (f *Finder) MarkNotPrimary(now time.Time, server ServerID) {
	f.retryAt[server] = now.Add(notPrimaryWait)
	if f.confirmed == server {
		f.confirmed = ""
	}
}

// MarkUnreachable records that the instance did not answer.
func (f *Finder) MarkUnreachable(now time.Time, server ServerID) {
	f.retryAt[server] = now.Add(unreachableWait)
	if f.confirmed == server {
		f.confirmed = ""
	}
}

// Leader returns the instance that led last, as far as is known; empty if none did.
func (f *Finder) Leader() ServerID {
	if f.confirmed != "" && (f.confirmed == f.view || !f.confirmedAt.Before(f.viewedAt)) {
		return f.confirmed
	}
	return f.view
}

// Primary returns the instance to try as the primary. If none should be tried now, ok is false and retryAfter
// is the time until one may be.
func (f *Finder) Primary(now time.Time, members []ServerID) (id ServerID, retryAfter time.Duration, ok bool) {
	if leader := f.Leader(); f.eligible(now, leader, members) {
		return leader, 0, true
	}
	if f.eligible(now, f.view, members) {
		return f.view, 0, true
	}
	retryAfter = notPrimaryWait
	for _, m := range members {
		wait := f.retryAt[m].Sub(now)
		if wait <= 0 {
			return m, 0, true
		}
		retryAfter = min(retryAfter, wait)
	}
	return "", retryAfter, false
}

func (f *Finder) eligible(now time.Time, id ServerID, members []ServerID) bool {
	if id == "" || now.Before(f.retryAt[id]) {
		return false
	}
	for _, m := range members {
		if m == id {
			return true
		}
	}
	return false
}
