package lane

import (
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/admission"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// adjustTimeout bounds the statements that bring a connection to the state of a session. They take
// no slot of the instance.
const adjustTimeout = time.Second

// errAdjust tells that a connection could not be brought to the state of a session.
var errAdjust = errors.New("lane: the connection does not take the values of the session; the statement did not run")

// Held is a connection in use by one holder.
type Held struct {
	lane    *Lane
	ticket  admission.Ticket
	profile *Profile
	line    *line
	busy    time.Duration // time that statements took; a pause inside a transaction takes no slot
	sent    time.Time     // when the statement in progress was sent; zero if none is; guarded by lane.mu
	broken  bool
}

// Server returns the name of the instance.
func (h *Held) Server() string { return h.lane.server }

// Broken reports whether the connection is useless.
func (h *Held) Broken() bool { return h.broken }

// Adjust brings the connection to the values of the session. After an error nothing of the session
// ran, and the connection is broken.
func (h *Held) Adjust() error {
	statements := h.line.adjust(h.profile)
	if len(statements) == 0 {
		return nil
	}
	answers, err := h.Exchange(adjustTimeout, statements...)
	if err != nil {
		return err
	}
	for _, a := range answers {
		if a.Code != operation.Done {
			h.broken = true
			return errAdjust
		}
	}
	return nil
}

// Prepare returns the name of a shape on the connection and the statements that must go before its
// first use.
func (h *Held) Prepare(s Shape) (name string, first []operation.Statement) {
	return h.line.prepare(s)
}

// Forget drops what is known of prepared statements, after the instance said that it knows none of
// that name.
func (h *Held) Forget() {
	clear(h.line.prepared)
}

// Exchange sends statements and waits for their answers. After an error the connection is broken.
func (h *Held) Exchange(limit time.Duration, statements ...operation.Statement) ([]operation.Answer, error) {
	sent := h.begin()
	answers, err := h.line.conn.Exchange(limit, statements...)
	h.end()
	timed := false
	for i := range answers {
		k := statements[i].Kind
		timed = timed || k == operation.Read || k == operation.Write || k == operation.Execute || k == operation.Commit
	}
	if len(answers) > 0 {
		h.lane.hear(sent, answers[len(answers)-1], timed && err == nil)
	}
	if err != nil {
		h.broken = true
		h.lane.fail()
	}
	return answers, err
}

func (h *Held) begin() time.Time {
	h.lane.mu.Lock()
	defer h.lane.mu.Unlock()
	h.sent = h.lane.now()
	return h.sent
}

func (h *Held) end() {
	h.lane.mu.Lock()
	defer h.lane.mu.Unlock()
	h.busy += h.lane.now().Sub(h.sent)
	h.sent = time.Time{}
}

// Release gives the connection back. It must not be used after that.
func (h *Held) Release() {
	h.lane.leave(h, !h.broken)
}

// Break has the connection closed when it is given back.
func (h *Held) Break() { h.broken = true }
