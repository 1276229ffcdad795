package watermark

import (
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// ServerID is the name of a backend server.
type ServerID string

// RoundID numbers the rounds of a group.
type RoundID uint64

// WaitID names a request of a session; the shell chooses it.
type WaitID uint64

// Role is what an instance says of itself.
type Role string

// Roles of an instance.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// Report is what an instance answered to a status request.
type Report struct {
	Role     Role
	Follows  position.Term     // term that it follows or leads
	At       position.Position // term in which its log ends and offset of its last record
	Promised position.Term
	History  position.History
}

// Event is an input of a Group.
type Event interface{ event() }

// ViewChanged tells what the control log knows of the group.
type ViewChanged struct {
	Term    position.Term
	History position.History
	Primary ServerID // empty while there is none
	Members []ServerID
	Retired []ServerID // members that are about to leave; they confirm nothing
	Count   int        // configured number of members; a majority is counted of this
}

// StatusReceived is the answer of an instance to the request of a round.
type StatusReceived struct {
	Server ServerID
	Round  RoundID
	Report Report
}

// PositionAdvanced tells that the position of an instance advanced while it followed At.Term.
type PositionAdvanced struct {
	Server ServerID
	At     position.Position
}

// LinkOpened tells that the status link of an instance works.
type LinkOpened struct {
	Server ServerID
}

// LinkLost tells that the status link of an instance ended.
type LinkLost struct {
	Server ServerID
}

// FloorRequested asks for a floor that no write acknowledged before now is above.
type FloorRequested struct {
	Wait WaitID
}

// ConfirmationRequested asks whether a commit is held by a majority.
type ConfirmationRequested struct {
	Wait   WaitID
	Server ServerID // primary that answered
	At     position.Position
}

// WaitCanceled tells that nobody waits any more.
type WaitCanceled struct {
	Wait WaitID
}

// Tick tells that time passed.
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

// FloorResolved answers Connected.
type FloorResolved struct {
	Wait  WaitID
	Floor position.Position
}

// Verdict is what is known of a commit.
type Verdict uint8

// Verdicts of a commit.
const (
	Confirmed Verdict = iota + 1 // a majority holds it
	Unknown                      // superseded, or nothing was known within the commit wait
)

// CommitResolved answers Committed. At is the floor of a session that wrote the commit. After a change of
// term it names the newest term: an instance of a term between the two may have a log without the
// record and would still cover the position of the old term.
type CommitResolved struct {
	Wait    WaitID
	Verdict Verdict
	At      position.Position // zero unless Held
}

func (RequestStatus) effect()  {}
func (FloorResolved) effect()  {}
func (CommitResolved) effect() {}

// Member is what is known of one instance. It does not change once published.
type Member struct {
	Server     ServerID
	Known      bool // an instance that never answered is not known
	Linked     bool // the status link works as far as is known
	Role       Role
	Follows    position.Term
	At         position.Position
	Promised   position.Term
	History    position.History
	LastAnswer time.Time // last answer
	FreshAsOf  time.Time // the data is no older than this; zero: nothing is known
}

// Covers reports whether the instance holds everything up to floor.
func (m *Member) Covers(floor position.Position) bool {
	return m.Known && m.History.Covers(m.At, floor)
}
