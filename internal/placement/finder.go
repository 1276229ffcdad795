// Package placement decides which instance of a database group gets a statement.
package placement

import "time"

// ServerID names a backend server.
type ServerID string

const (
	// refusedWait is how long an instance that refused to lead is not asked again: a promotion takes
	// some hundred milliseconds.
	refusedWait = 150 * time.Millisecond
	// lostWait is how long an instance that did not answer is not asked while another may lead.
	lostWait = 500 * time.Millisecond
)

// Finder finds the primary of one group from answers of its instances and the view of the control
// group, whichever is newer. It is not safe for concurrent use.
type Finder struct {
	view    ServerID
	viewed  time.Time
	proved  ServerID // last to prove that it leads
	at      time.Time
	refused map[ServerID]time.Time // not before
}

// NewFinder returns a Finder that knows nothing.
func NewFinder() *Finder {
	return &Finder{refused: map[ServerID]time.Time{}}
}

// SetView takes over the primary that the control group names.
func (f *Finder) SetView(now time.Time, primary ServerID) {
	if primary == f.view {
		return
	}
	f.view, f.viewed = primary, now
	delete(f.refused, primary)
}

// MarkPrimary notes that the instance leads.
func (f *Finder) MarkPrimary(now time.Time, server ServerID) {
	f.proved, f.at = server, now
	delete(f.refused, server)
}

// MarkNotPrimary notes that the instance does not lead.
func (f *Finder) MarkNotPrimary(now time.Time, server ServerID) {
	f.refused[server] = now.Add(refusedWait)
	if f.proved == server {
		f.proved = ""
	}
}

// MarkUnreachable notes that the instance did not answer.
func (f *Finder) MarkUnreachable(now time.Time, server ServerID) {
	f.refused[server] = now.Add(lostWait)
	if f.proved == server {
		f.proved = ""
	}
}

// Primary returns the instance to ask as the primary. It is false if none is worth asking now;
// then again says when one will be.
func (f *Finder) Primary(now time.Time, members []ServerID) (id ServerID, again time.Duration, ok bool) {
	if f.proved != "" && (f.proved == f.view || !f.at.Before(f.viewed)) && f.may(now, f.proved, members) {
		return f.proved, 0, true
	}
	if f.may(now, f.view, members) {
		return f.view, 0, true
	}
	again = refusedWait
	for _, m := range members {
		wait := f.refused[m].Sub(now)
		if wait <= 0 {
			return m, 0, true
		}
		again = min(again, wait)
	}
	return "", again, false
}

func (f *Finder) may(now time.Time, id ServerID, members []ServerID) bool {
	if id == "" || now.Before(f.refused[id]) {
		return false
	}
	for _, m := range members {
		if m == id {
			return true
		}
	}
	return false
}
