package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is the stand-in for the platform: it takes the orders to promote and checks their fences.
type cloud struct {
	record  *record
	service *service
	at      string

	mu     sync.Mutex
	seen   uint64 // highest fencing token
	orders int
	server *http.Server // nil while it is down
}

// up starts the platform.
func (c *cloud) up() {
	l, err := net.Listen("tcp", c.at)
	if err != nil {
		fatal("listen %s: %v", c.at, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.promote)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	go server.Serve(l) //nolint:errcheck // it ends with down
}

// down makes the platform refuse connections.
func (c *cloud) down() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.Close()
	c.server = nil
}

func (c *cloud) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&order) != nil || err != nil || order.Service != c.service.name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.orders++
	stale := token < c.seen
	c.seen = max(c.seen, token)
	c.mu.Unlock()
	c.service.mu.Lock()
	var target *instance
	for _, i := range c.service.instances {
		if i.id == order.ID && i.up {
			target = i
		}
	}
	c.service.mu.Unlock()
	c.record.add("promote", "ordered by %s: %s, token %d, stale %t, runs %t", r.Header.Get("X-Duty-Holder"), order.ID, token, stale, target != nil)
	if stale || target == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(promoteTime, func() { c.service.lead(target) })
}
