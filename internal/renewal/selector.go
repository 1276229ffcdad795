package renewal

import "time"

// targetSelector chooses the control VM to which the next Renew is sent. It is not safe for concurrent use.
type targetSelector struct {
	index     int    // of the next control VM in the list of addresses
	redirect  string // address to use instead; empty for none
	redirects int    // redirects followed since the last pause
	avoid     string // address that failed last; another one is tried first
}

// renewAnswer is the outcome of a Renew.
type renewAnswer struct {
	failed   bool   // no answer arrived
	leader   bool   // the control VM leads
	redirect string // address of the leader; empty if unknown
	newTerm  bool   // the reply had a new term, so the same control VM may be tried again
}

// next returns the address for the next Renew.
func (s *targetSelector) next(addresses []string) string {
	if s.redirect != "" {
		return s.redirect
	}
	if len(addresses) > 1 && addresses[s.index%len(addresses)] == s.avoid {
		s.index++
	}
	return addresses[s.index%len(addresses)]
}

// handleAnswer records the answer of the control VM at an address and returns the maximum pause before the next
// Renew. Up to maxRedirects redirects are followed without a pause.
func (s *targetSelector) handleAnswer(address string, a renewAnswer) time.Duration {
	hops := s.redirects
	s.redirects = 0
	switch {
	case a.leader:
		s.redirect = address
		return renewInterval
	case a.failed || a.redirect == "" || a.redirect == address && !a.newTerm:
		s.index, s.redirect, s.avoid = s.index+1, "", address
		return failPause
	}
	s.redirect = a.redirect
	if a.redirect == address || hops >= maxRedirects {
		return failPause
	}
	s.redirects = hops + 1
	return 0
}
