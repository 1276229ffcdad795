// Package console implements the HTTP endpoint for operators of a process: metrics, a state dump and
// readiness.
package console

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/httpserver"
)

// requestTimeout bounds a request, so that a state dump of a hung process returns an error.
const requestTimeout = 5 * time.Second

// stopGrace is the time that accepted requests get when the process stops.
const stopGrace = 500 * time.Millisecond

// Process is the source of the data that a console serves. Its functions are called concurrently.
type Process struct {
	Name  string                                 // name of the metrics in /debug/vars
	Vars  *expvar.Map                            // metrics of the process; nil if it has none
	Dump  func(ctx context.Context) (any, error) // returns the state, written as JSON; nil if there is no dump
	Ready func(ctx context.Context) error        // returns nil while the process is ready; nil means always ready
}

// Server serves GET /debug/vars, /metrics, /dump and /ready.
type Server struct {
	process  Process
	listener net.Listener
	handler  http.Handler
}

// Listen opens a listener at IP:port. Requests are served by Serve.
func Listen(address string, process Process) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "console"), "choose another address for --console, or stop the process that uses it")
	}
	s := &Server{process: process, listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", s.vars)
	mux.HandleFunc("GET /dump", s.dump)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics)
	s.handler = mux
	return s, nil
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves requests until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	return errors.Wrap(httpserver.Serve(ctx, s.listener, s.handler, stopGrace), "console")
}

// vars writes the expvar metrics of the program and those of the process as JSON.
func (s *Server) vars(w http.ResponseWriter, _ *http.Request) {
	all := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	if s.process.Vars != nil {
		all[s.process.Name] = json.RawMessage(s.process.Vars.String())
	}
	reply(w, all)
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	if s.process.Dump == nil {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	state, err := s.process.Dump(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, state)
}

func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	if s.process.Ready != nil {
		if err := s.process.Ready(ctx); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	w.Write([]byte("ready\n")) //nolint:errcheck // the client has disconnected
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
