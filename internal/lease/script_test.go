package lease_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/lease"
)

// script plays a sequence of steps on the entry VMs A, whose clock is slow, and B:
//
//	p100 time passes, in milliseconds    L  a new issuer leads
//	wA   statements wait for credits     tA spends all credits held
//	xA   request and reply               lA request whose reply is lost
//	dA   spends until no grant comes     cA9 wants 9 connections
//	sA   sends a request                 D  the issuer receives the last request; E receives it again
//	R    its reply arrives               oA opens and closes connections to match the budget
//	e    the issuer expires leases       T  the connections that it returned are terminated
func (f *fleet) script(t *testing.T, steps string) {
	a, b := f.start(1/1.01), f.start(1)
	names := map[byte]*entry{'A': a, 'B': b}
	all := int(f.tokens) + 1
	demand := func(e *entry) {
		for range all {
			f.take(e, 1)
		}
	}
	exchange := func(e *entry, lost bool) {
		f.send(e)
		m := f.answer(f.requests[len(f.requests)-1])
		if !lost {
			e.Grant(m.sent, f.clock(e), m.reply)
			f.applyBudget(e)
		}
	}
	var sent, reply message
	var ended []lease.Expired
	f.now = f.now.Add(time.Minute)
	for _, step := range strings.Fields(steps) {
		var e *entry
		number := 0
		if len(step) > 1 {
			e = names[step[1]]
			number, _ = strconv.Atoi(strings.TrimLeft(step[1:], "AB"))
		}
		switch step[0] {
		case 'p':
			f.now = f.now.Add(time.Duration(number) * time.Millisecond)
		case 'L':
			f.newLeader()
		case 'w', 't':
			demand(e)
		case 'x', 'l':
			exchange(e, step[0] == 'l')
		case 'd':
			for range 4 {
				demand(e)
				exchange(e, false)
			}
			demand(e)
		case 'c':
			e.want = number
		case 's':
			f.send(e)
			sent = f.requests[len(f.requests)-1]
		case 'D', 'E':
			reply = f.answer(sent)
		case 'R':
			reply.to.Grant(reply.sent, f.clock(reply.to), reply.reply)
		case 'o':
			f.applyBudget(e)
		case 'e':
			ended = f.issuer.Expire(f.now)
		case 'T':
			for _, x := range ended {
				delete(f.opened, string(x.Entry))
				f.issuer.Terminated(x.Entry, x.Server)
			}
		}
		sum := 0
		for _, n := range f.opened {
			sum += n
		}
		require.LessOrEqual(t, sum, pool, "more connections than the instance has after %s in %s", step, steps)
		require.GreaterOrEqual(t, f.tokens, -1e-6, "more than burst + rate x length after %s in %s", step, steps)
	}
}

// Guards each safeguard of the invariants by a sequence that violates one without it.
func TestOverspendingSequences(t *testing.T) {
	for name, steps := range map[string]string{
		"a slow clock holds credits for 2.02 s":                   "wA xA p2005 xB p10 dB tA",
		"a late reply does not revive expired credits":            "wA xA p300 sA p1750 xB p20 dB D R tA",
		"nothing is earned while spent credits count":             "wA xA p1900 tA p200 dB",
		"nothing is earned while unreported holders count":        "wA xA wB xB L p1900 tA dA tB",
		"a repeated request gets the same answer":                 "wA sA D R dB E dB tA",
		"a dead unreported holder blocks until terminated":        "cA10 xA xA L sA p2020 xB D p2020 cB10 xB xB xB",
		"a lost lower budget still counts":                        "cA10 xA xA cB10 xB lA xB",
		"nothing is granted to a holder that is being terminated": "cA10 xA xA p2030 e xA T cB10 xB xB oA",
	} {
		t.Run(name, func(t *testing.T) {
			for _, rate := range []float64{1, 1000} {
				newFleet(rate, 10, lease.Pooled).script(t, steps)
			}
		})
	}
}

// Guards against credits that stay at an entry VM whose traffic has ended.
func TestIdleCreditsReturn(t *testing.T) {
	f := newFleet(1000, 1000, lease.Pooled)
	f.script(t, "wA xA p500 xA p500 xA p500 xA p500 xA p500 xA")
	require.Zero(t, f.entries[0].Held(f.clock(f.entries[0]), "a"))
}
