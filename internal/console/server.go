// Package console is the HTTP listener of a process for its operators: metrics, a dump of the state
// and readiness.
package console

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// answerTimeout bounds a state dump of a process that hangs.
const answerTimeout = 5 * time.Second

// Process is what a console shows. All functions are called from many goroutines.
type Process struct {
	Name  string                                 // of the metrics in /debug/vars
	Vars  *expvar.Map                            // metrics of the process; nil if it has none
	Dump  func(ctx context.Context) (any, error) // state, written as JSON; nil if it has none
	Ready func(ctx context.Context) error        // nil while the process serves; nil function means always
}

// Server answers GET /debug/vars, /metrics, /dump and /ready.
type Server struct {
	process  Process
	listener net.Listener
	http     *http.Server
}

// Listen opens the listener at IP:port. Serve answers.
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
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: answerTimeout}
	return s, nil
}

// Address returns the address listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "console")
}

// vars writes the metrics of expvar with those of the process.
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
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	state, err := s.process.Dump(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, state)
}

func (s *Server) ready(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	if s.process.Ready != nil {
		if err := s.process.Ready(ctx); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	w.Write([]byte("ready\n")) //nolint:errcheck // the asker is gone
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
