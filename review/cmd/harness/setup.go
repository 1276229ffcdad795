package main

import (
	"fmt"
	"sync"
	"time"
)

// Names of the routes and the key of the one client account.
const (
	primaryRoute = "enroll"
	boundedRoute = "roster"
	clientKey    = "key1"
	service      = "classes"
)

// configuration returns a configuration like that of the small sites. timeout is that of the bounded route.
func configuration(version, sync int, timeout time.Duration) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-1","host":"%s","path_prefix":"/","type":"primary","timeout_ms":1000,"target_latency_ms":250,"priority":1,"service":"%s","max_attempts":2,"public":false},`+
		`{"name":"r-2","host":"%s","path_prefix":"/","type":"bounded_staleness","timeout_ms":%d,"target_latency_ms":600,"priority":2,"service":"%s","max_attempts":2,"max_staleness_ms":1500,"public":false}],`+
		`"services":[{"name":"%s","health_path":"/health","max_conns":%d,"protocol":"h1","tls":false,"sync_replicas":%d}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},`+
		`"tenants":[{"name":"tide","api_keys":["%s"],"priority":1,"rate_per_s":500,"burst":500}]}`,
		version, primaryRoute, service, boundedRoute, timeout.Milliseconds(), service, service, maxConnections, sync, clientKey)
}

// begin starts the site with a database of three instances, and waits until it serves. The caller must close the returned
// function when the case ends.
func begin(s *site, sync int, work func(write bool) time.Duration) (*database, error) {
	d := newDatabase(s, service, work)
	d.sync = sync > 0
	if _, err := d.servePlatform(); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	if err := s.publish(configuration(7, sync, 2*time.Second)); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		if err := d.addInstance(zone); err != nil {
			return nil, fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	for n, m := range s.machines {
		if err := awaitServed(s, m, n); err != nil {
			return nil, err
		}
	}
	s.record.add("case", "the site serves")
	return d, nil
}

// awaitServed waits until an entry VM serves a write and a read.
func awaitServed(s *site, m *machine, n int) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		served := 0
		for route, text := range map[string]string{primaryRoute: "WRITE warm up", boundedRoute: "READ warm"} {
			c, err := s.open(fmt.Sprintf("warm%d.%s.%d", n, route, time.Now().UnixMilli()%100000), m, route, clientKey)
			if err != nil {
				continue
			}
			if q := c.query(text, 2*time.Second); q.outcome == done {
				served++
			}
			c.close()
		}
		if served == 2 {
			return nil
		}
	}
	return fmt.Errorf("%w: %s does not serve within 15 s", errCannotRun, m.name)
}

// load is what the clients of a case sent.
type load struct {
	site *site
	stop chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	all  []request
}

// add starts a client, which sends statements one after the other until the load stops. It opens a session again after its
// end, at the next machine.
func (l *load) add(name, route string, machines []*machine, text func(n int) string, pause time.Duration, again bool) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		for session := 0; ; session++ {
			m := machines[session%len(machines)]
			if c, err := l.site.open(fmt.Sprintf("%s.%d", name, session), m, route, clientKey); err == nil {
				l.run(c, text, pause)
				c.close()
			}
			select {
			case <-l.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			if !again {
				return
			}
		}
	}()
}

// run sends statements on one session until it ends.
func (l *load) run(c *caller, text func(n int) string, pause time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		q := c.query(text(n), 6*time.Second)
		l.mu.Lock()
		l.all = append(l.all, q)
		l.mu.Unlock()
		if q.outcome != done && q.outcome != refused {
			return
		}
	}
}

// end stops the clients and returns what they sent.
func (l *load) end() []request {
	close(l.stop)
	l.wait.Wait()
	return l.all
}
