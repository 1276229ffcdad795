package entryvm

import (
	"strconv"
	"strings"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// Names of the run-time parameters without their prefix.
const (
	parameterAge      = "age"
	parameterDeadline = "deadline"
	parameterRequest  = "request"
	parameterSession  = "session"
)

// maxRequestID is the maximum length of a request id, in bytes.
const maxRequestID = 200

// parameters are the run-time parameters of a session.
type parameters struct {
	age             time.Duration
	ageSet          bool // age was set; otherwise that of the route applies
	deadline        time.Duration
	applicationName string // application_name as the caller set it
	requestID       string // request id of the next statement or transaction that writes
}

// parameterApplication is answered by the VM. On connections to backend servers it contains the identity of the VM,
// by which the control group closes the connections of a failed VM.
const parameterApplication = "application_name"

// ownParameter reports whether the VM handles a run-time parameter itself, and returns its name without the prefix.
func ownParameter(name string) (string, bool) {
	if strings.EqualFold(name, parameterApplication) {
		return parameterApplication, true
	}
	return strings.CutPrefix(strings.ToLower(name), caller.ParameterPrefix)
}

// set sets a parameter. standard is the default deadline.
func (p *parameters) set(name, value string, standard time.Duration) *outcome.Error {
	switch name {
	case parameterAge:
		age, refusal := parseDuration(name, value)
		if refusal != nil {
			return refusal
		}
		p.age, p.ageSet = age, value != ""
	case parameterDeadline:
		deadline, refusal := parseDuration(name, value)
		if refusal != nil {
			return refusal
		}
		if deadline == 0 {
			deadline = standard
		}
		p.deadline = deadline
	case parameterRequest:
		if len(value) > maxRequestID {
			return outcome.New(outcome.InvalidParameter, "the request id is longer than "+strconv.Itoa(maxRequestID)+" bytes", "use a shorter id")
		}
		p.requestID = value
	case parameterApplication:
		p.applicationName = value
	case parameterSession:
		return outcome.New(outcome.InvalidParameter, "fireflyrudder.session is taken at connect only",
			"give it as a startup option: -c fireflyrudder.session=...")
	default:
		return unknownParameter(name)
	}
	return nil
}

func unknownParameter(name string) *outcome.Error {
	return outcome.New(outcome.InvalidParameter, "there is no parameter "+caller.ParameterPrefix+name,
		"the parameters are fireflyrudder.age, fireflyrudder.deadline, fireflyrudder.request and fireflyrudder.session")
}

// parseDuration parses "250ms", "5s" or a number of milliseconds. An empty value is zero.
func parseDuration(name, value string) (time.Duration, *outcome.Error) {
	if value == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if n, err2 := strconv.ParseInt(value, 10, 32); err2 == nil {
		d, err = time.Duration(n)*time.Millisecond, nil
	}
	if err != nil || d < 0 {
		return 0, outcome.New(outcome.InvalidParameter, "bad value of "+caller.ParameterPrefix+name, "give a duration such as 250ms or 5s")
	}
	return d, nil
}

// ageFor returns the maximum age of the data of reads on a route: that of the session if set, else that of the route.
func (p *parameters) ageFor(r *callerRoute) time.Duration {
	if p.ageSet {
		return p.age
	}
	return r.age
}

// showParameter returns the value of a parameter as text.
func (s *callerSession) showParameter(name string) (string, *outcome.Error) {
	switch name {
	case parameterAge:
		return s.parameters.ageFor(s.route).String(), nil
	case parameterDeadline:
		return s.parameters.deadline.String(), nil
	case parameterRequest:
		return s.parameters.requestID, nil
	case parameterApplication:
		return s.parameters.applicationName, nil
	case parameterSession:
		return s.token(), nil
	}
	return "", unknownParameter(name)
}
