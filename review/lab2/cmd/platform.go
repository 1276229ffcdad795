package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promoteDelay is the time from an accepted order to the promotion.
const promoteDelay = 300 * time.Millisecond

// platform serves the orders to promote, with fences by service.
type platform struct {
	site    *site
	address string

	mu      sync.Mutex
	down    bool                         // no order gets an answer
	highest map[string]uint64            // highest fencing token by service
	holders map[string]map[uint64]string // holder of each token that was accepted, by service
}

// startPlatform serves the platform's API.
func startPlatform(s *site, address string) (*platform, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{site: s, address: address, highest: map[string]uint64{}, holders: map[string]map[uint64]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return p, nil
}

// promote handles an order. A token that two holders used for one service breaks the rule ONE.
func (p *platform) promote(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	holder := q.Header.Get("X-Duty-Holder")
	token, err := strconv.ParseUint(q.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(q.Body).Decode(&order) != nil || err != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	if down {
		p.site.record.printf("platform: is down for the order of %s with token %d", holder, token)
		<-q.Context().Done()
		return
	}
	status := p.accept(order.Service, order.ID, holder, token)
	p.site.record.printf("platform: %s orders %s to lead %s with token %d: %d", holder, order.ID, order.Service, token, status)
	w.WriteHeader(status)
}

func (p *platform) accept(service, id, holder string, token uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if token < p.highest[service] {
		return http.StatusConflict
	}
	p.highest[service] = token
	c := p.site.cluster(service)
	if c == nil || !c.runs(id) {
		return http.StatusConflict
	}
	if p.holders[service] == nil {
		p.holders[service] = map[uint64]string{}
	}
	if other := p.holders[service][token]; other != "" && other != holder {
		p.site.record.breakRule("ONE: %s and %s promote in %s with the same fencing token %d", other, holder, service, token)
	}
	p.holders[service][token] = holder
	if !c.leads(id) {
		time.AfterFunc(promoteDelay, func() { c.promote(id) })
	}
	return http.StatusOK
}

// setDown makes the platform answer no order, or answer again.
func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.site.record.printf("platform: down is %t", down)
}
