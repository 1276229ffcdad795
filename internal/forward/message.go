// Package forward carries statements from one entry VM to another over gRPC. Connections to backend servers are
// scarce and belong to one client account each, so one entry VM near a backend server, the owner, holds the
// connections and runs the statements that all others forward to it.
//
// Package connpool pools the connections on the owner; package proxy decides whether to use the own pool or to
// forward.
package forward

import (
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

const (
	// maxWait bounds the expected waits that are accepted from another entry VM. It is above all deadlines.
	maxWait = time.Minute
	// maxPriorities bounds their number.
	maxPriorities = 8
)

// failures maps errors of connpool to their values on the wire, in numeric order.
var failures = []struct {
	failure wire.Failure
	err     error
}{
	{wire.Failure_FAILURE_LATE, connpool.ErrQueueTimeout},
	{wire.Failure_FAILURE_FULL, connpool.ErrQueueFull},
	{wire.Failure_FAILURE_LEFT, connpool.ErrClosed},
	{wire.Failure_FAILURE_UNREACHED, connpool.ErrUnreachable},
	{wire.Failure_FAILURE_NOT_SENT, connpool.ErrNotSent},
	{wire.Failure_FAILURE_SLOW, connpool.ErrAnswerTimeout},
	{wire.Failure_FAILURE_BROKEN, connpool.ErrConnectionLost},
}

// encodeFailure translates an error of a connection pool. An unknown error leaves the outcome open: it becomes
// FAILURE_BROKEN.
func encodeFailure(err error) (wire.Failure, operation.Code) {
	if err == nil {
		return wire.Failure_FAILURE_NONE, operation.Done
	}
	var refused *connpool.RefusedError
	if errors.As(err, &refused) {
		return wire.Failure_FAILURE_REFUSED, refused.Code
	}
	for _, f := range failures {
		if errors.Is(err, f.err) {
			return f.failure, operation.Done
		}
	}
	return wire.Failure_FAILURE_BROKEN, operation.Done
}

// decodeFailure is the inverse of encodeFailure. An unknown value leaves the outcome open.
func decodeFailure(r *wire.ForwardReply) error {
	switch r.GetFailure() {
	case wire.Failure_FAILURE_NONE:
		return nil
	case wire.Failure_FAILURE_REFUSED:
		return &connpool.RefusedError{Code: operation.Code(r.GetCode())}
	}
	for _, f := range failures {
		if f.failure == r.GetFailure() {
			return f.err
		}
	}
	return connpool.ErrConnectionLost
}

func encodeWaits(waits []time.Duration) []int64 {
	out := make([]int64, len(waits))
	for i, w := range waits {
		out[i] = w.Microseconds()
	}
	return out
}

func decodeWaits(waits []int64) []time.Duration {
	out := make([]time.Duration, min(len(waits), maxPriorities))
	for i, w := range waits[:len(out)] {
		out[i] = time.Duration(min(max(w, 0), maxWait.Microseconds())) * time.Microsecond
	}
	return out
}

func encodePosition(p position.Position) *wire.Position {
	if p.IsZero() {
		return nil
	}
	return &wire.Position{Term: uint64(p.Term), Offset: uint64(p.Offset)}
}

func decodePosition(p *wire.Position) position.Position {
	return position.Position{Term: position.Term(p.GetTerm()), Offset: position.Offset(p.GetOffset())}
}

func encodeSteps(statements []operation.Statement) []*wire.Step {
	steps := make([]*wire.Step, 0, len(statements))
	for _, st := range statements {
		steps = append(steps, &wire.Step{
			Id: st.ID, Kind: uint32(st.Kind), ReadOnly: st.ReadOnly, Name: st.Name, Argument: st.Argument, Text: st.Text,
			Shape: st.Shape, After: encodePosition(st.After),
		})
	}
	return steps
}

func decodeSteps(steps []*wire.Step) []operation.Statement {
	statements := make([]operation.Statement, 0, len(steps))
	for _, s := range steps {
		statements = append(statements, operation.Statement{
			ID: s.GetId(), Kind: operation.Kind(s.GetKind()), ReadOnly: s.GetReadOnly(), Name: s.GetName(), Argument: s.GetArgument(),
			Text: s.GetText(), Shape: s.GetShape(), After: decodePosition(s.GetAfter()),
		})
	}
	return statements
}

func encodeAnswers(answers []operation.Answer) []*wire.Result {
	results := make([]*wire.Result, 0, len(answers))
	for _, a := range answers {
		results = append(results, &wire.Result{
			Rows: a.Rows, Proof: a.Proof, Code: uint32(a.Code), Detail: a.Detail, State: uint32(a.State), At: encodePosition(a.At),
		})
	}
	return results
}

func decodeAnswers(results []*wire.Result) []operation.Answer {
	answers := make([]operation.Answer, 0, len(results))
	for _, r := range results {
		answers = append(answers, operation.Answer{
			Rows: r.GetRows(), Proof: r.GetProof(), Code: operation.Code(r.GetCode()), Detail: r.GetDetail(),
			State: operation.State(r.GetState()), At: decodePosition(r.GetAt()),
		})
	}
	return answers
}
