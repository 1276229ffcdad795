package watermark

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// ServerID is the name of a backend server.
type ServerID string

// RoundID numbers the rounds of a group.
type RoundID uint64

// WaitID identifies a request of a session. The caller of Step chooses it.
type WaitID uint64

// Role is the role that an instance reports.
type Role string

// Roles of an instance.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// Report is the reply of an instance to a status request.
type Report struct {
	Role     Role
	Follows  position.Term     // term that it follows or leads
	At       position.Position // term in which its log ends and offset of its last record
	Promised position.Term
	History  position.History
}

// Event is an input of a Group.
type Event interface{ event() }

// ViewChanged carries the state of the group in the control log.
type ViewChanged struct {
	Term    position.Term
	History position.History
	Primary ServerID // empty while there is none
	Members []ServerID
	Retired []ServerID // members that are about to leave; they confirm nothing
	Count   int        // configured number of members, of which a majority is counted
}

// StatusReceived is the reply of an instance to the request of a round.
type StatusReceived struct {
	Server ServerID
	Round  RoundID
	Report Report
}

// PositionAdvanced reports a higher position of an instance that follows At.Term.
type PositionAdvanced struct {
	Server ServerID
	At     position.Position
}

// LinkOpened reports that the status link of an instance is open.
type LinkOpened struct {
	Server ServerID
}

// LinkLost reports that the status link of an instance ended.
type LinkLost struct {
	Server ServerID
}

// FloorRequested requests a floor at or above every write acknowledged before now.
type FloorRequested struct {
	Wait WaitID
}

// ConfirmationRequested requests the confirmation that a majority has a commit.
type ConfirmationRequested struct {
	Wait   WaitID
	Server ServerID // primary that replied to the commit
	At     position.Position
}

// WaitCanceled withdraws a FloorRequested or ConfirmationRequested.
type WaitCanceled struct {
	Wait WaitID
}

// Tick reports that time passed.
type Tick struct{}

func (ViewChanged) event()           {}
func (StatusReceived) event()        {}
func (PositionAdvanced) event()      {}
func (LinkOpened) event()            {}
func (LinkLost) event()              {}
func (FloorRequested) event()        {}
func (ConfirmationRequested) event() {}
func (WaitCanceled) event()          {}
func (Tick) event()                  {}

// Effect is an output of a Group.
type Effect interface{ effect() }

// RequestStatus sends a status request to every server on its status link.
type RequestStatus struct {
	Round   RoundID
	Servers []ServerID
}

// FloorResolved is the result of FloorRequested.
type FloorResolved struct {
	Wait  WaitID
	Floor position.Position
}

// Verdict is the result of a ConfirmationRequested.
type Verdict uint8

// Verdicts of a commit.
const (
	Confirmed Verdict = iota + 1 // a majority has the commit
	Unknown                      // superseded, or no majority reported the commit within CommitWait
)

// CommitResolved is the result of ConfirmationRequested. At is the floor of a session that wrote the commit.
// After a change of term it is in the newest term: an instance of a term between the two may have a log
// without the record and would still cover the position of the old term.
type CommitResolved struct {
	Wait    WaitID
	Verdict Verdict
	At      position.Position // zero unless Confirmed
}

func (RequestStatus) effect()  {}
func (FloorResolved) effect()  {}
func (CommitResolved) effect() {}

// Member is the last known state of an instance. It does not change once published.
type Member struct {
	Server     ServerID
	Known      bool // false until the first reply
	Linked     bool // the status link is open as far as is known
	Role       Role
	Follows    position.Term
	At         position.Position
	Promised   position.Term
	History    position.History
	LastAnswer time.Time // time of the last reply
	FreshAsOf  time.Time // the data is at least as recent as at this time; zero if not known
}

// Covers reports whether the instance has every record up to floor.
func (m *Member) Covers(floor position.Position) bool {
	return m.Known && m.History.Covers(m.At, floor)
}
