package connpool

import (
	"context"
	"slices"
	"time"
)

// aheadPause is the pause after a connection could not be opened ahead of statements.
const aheadPause = time.Second

// ahead is the state of connections that are opened before a statement needs them.
type ahead struct {
	opening int             // in progress
	served  map[string]bool // client accounts that have had a connection
	after   time.Time       // no further ones before this time
}

// OpenAhead opens connections for the client accounts that have had none, in their order, while the instance has nothing
// better to do: opening one takes a slot and two round trips, for which the first statement of each account would wait.
// It does not block. Accounts beyond the limit on connections share what is left, as statements need it.
func (p *Pool) OpenAhead(now time.Time, accounts []string) {
	running, waiting := p.slots.Load()
	if waiting > 0 || p.cold(now) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, account := range accounts {
		if running+p.ahead.opening >= max(p.knownSlots/2, 1) || p.closed || p.evacuation.evacuated || p.open >= p.maxOpen() || now.Before(p.ahead.after) {
			return
		}
		if p.ahead.served[account] {
			continue
		}
		p.ahead.served[account] = true
		p.ahead.opening++
		p.open++
		go p.openAhead(account)
	}
}

// openAhead opens a connection for a client account. The caller has already counted it in open.
func (p *Pool) openAhead(account string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, account)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ahead.opening--
	defer p.wake()
	if err != nil {
		p.open--
		p.ahead.after = p.options.Now().Add(aheadPause)
		delete(p.ahead.served, account)
		return
	}
	if p.closed || p.evacuation.evacuated || p.open > p.limit {
		conn.Close()
		p.open--
		return
	}
	// Until a statement has used it, it is the first to make room for another one.
	p.idle = slices.Insert(p.idle, 0, &idleConn{pooled: newPooledConn(conn, account), since: p.options.Now()})
}
