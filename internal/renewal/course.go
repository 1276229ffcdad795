package renewal

import "time"

// course says which control VM is asked next. It is not safe for concurrent use.
type course struct {
	at       int    // of the control VM to ask, in the list of addresses
	redirect string // address to ask instead; empty for none
	hops     int    // redirects followed since the last pause
	avoid    string // address that was no use last; another one is asked first
}

// answer is how a control VM answered a Renew.
type answer struct {
	failed   bool   // it did not answer
	leader   bool   // it leads
	redirect string // whom to ask instead; empty if it does not know
	learned  bool   // the term of the leader was new, so the same control VM may be asked again
}

// next returns the address to ask.
func (c *course) next(addresses []string) string {
	if c.redirect != "" {
		return c.redirect
	}
	if len(addresses) > 1 && addresses[c.at%len(addresses)] == c.avoid {
		c.at++
	}
	return addresses[c.at%len(addresses)]
}

// heard takes the answer of the control VM at an address and returns the longest pause before the next
// Renew. A few redirects are followed without one.
func (c *course) heard(address string, a answer) time.Duration {
	hops := c.hops
	c.hops = 0
	switch {
	case a.leader:
		c.redirect = address
		return renewInterval
	case a.failed || a.redirect == "" || a.redirect == address && !a.learned:
		c.at, c.redirect, c.avoid = c.at+1, "", address
		return failPause
	}
	c.redirect = a.redirect
	if a.redirect == address || hops >= mostHops {
		return failPause
	}
	c.hops = hops + 1
	return 0
}
