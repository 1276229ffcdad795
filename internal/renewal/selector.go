package renewal

import "time"

// targetSelector says which control VM is asked next. It is not safe for concurrent use.
type targetSelector struct {
	index     int    // of the control VM to ask, in the list of addresses
	redirect  string // address to ask instead; empty for none
	redirects int    // redirects followed since the last pause
	avoid     string // address that was no use last; another one is asked first
}

// renewAnswer is how a control VM answered a Renew.
type renewAnswer struct {
	failed   bool   // it did not answer
	leader   bool   // it leads
	redirect string // whom to ask instead; empty if it does not know
	newTerm  bool   // the term of the leader was new, so the same control VM may be asked again
}

// next returns the address to ask.
func (c *targetSelector) next(addresses []string) string {
	if c.redirect != "" {
		return c.redirect
	}
	if len(addresses) > 1 && addresses[c.index%len(addresses)] == c.avoid {
		c.index++
	}
	return addresses[c.index%len(addresses)]
}

// handleAnswer takes the answer of the control VM at an address and returns the longest pause before the next
// Renew. A few redirects are followed without one.
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
