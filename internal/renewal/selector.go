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
func (c *targetSelector) next(addresses []string) string {
	if c.redirect != "" {
		return c.redirect
	}
	if len(addresses) > 1 && addresses[c.index%len(addresses)] == c.avoid {
		c.index++
	}
	return addresses[c.index%len(addresses)]
}

// handleAnswer records the answer of the control VM at an address and returns the maximum pause before the next
// Renew. Up to maxRedirects redirects are followed without a pause.
func (c *targetSelector) handleAnswer(address string, a renewAnswer) time.Duration {
	hops := c.redirects
	c.redirects = 0
	switch {
	case a.leader:
		c.redirect = address
		return renewInterval
	case a.failed || a.redirect == "" || a.redirect == address && !a.newTerm:
		c.index, c.redirect, c.avoid = c.index+1, "", address
		return failPause
	}
	c.redirect = a.redirect
	if a.redirect == address || hops >= maxRedirects {
		return failPause
	}
	c.redirects = hops + 1
	return 0
}
