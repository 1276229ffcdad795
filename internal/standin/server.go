// Package standin emulates a backend server of a replicated database group for tests, demonstrations and
// measurements. It implements the interface of docs/PLATFORM.md, stores everything in memory and runs one
// writing transaction at a time.
package standin

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Config configures an instance.
type Config struct {
	Server      string
	Group       string
	Zone        string
	Listen      string // IP:port; port 0 picks a free one
	Announce    []string
	Slots       int
	Connections int
	Open        time.Duration // added delay when a connection is opened
	Service     time.Duration // time that a statement occupies a slot before it is executed
	Lag         time.Duration // minimum age of a record when a replica applies it
	User        string
	Password    string // empty means that none is required
}

// Server is one emulated backend server, also called an instance. All methods are safe for concurrent use.
type Server struct {
	config     Config
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelCauseFunc
	goroutines sync.WaitGroup
	slots      chan struct{}
	hooks      *Hooks
	log        log.Interface

	mu               sync.RWMutex
	state            groupState
	tables           map[string]*table
	positionChanged  chan struct{} // closed and replaced when the reported position changes
	sessions         map[*session]bool
	replicationConns map[net.Conn]bool // connections of replicas
	connections      int               // logged in or logging in; limited by Config.Connections
	nextPID          uint32
}

// Start listens and serves until Close is called or ctx is done.
func Start(ctx context.Context, c Config) (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "standin: listen"), "choose a free IP:port on this VM")
	}
	s := &Server{
		config: c, listener: l, slots: make(chan struct{}, c.Slots), hooks: newHooks(c),
		tables: map[string]*table{}, positionChanged: make(chan struct{}),
		sessions: map[*session]bool{}, replicationConns: map[net.Conn]bool{},
		log: log.WithField("server", c.Server),
	}
	s.state.role = RoleReplica
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.spawn(s.acceptLoop)
	for _, address := range c.Announce {
		s.spawn(func() { s.announceLoop(address) })
	}
	s.spawn(func() {
		<-s.ctx.Done()
		s.closeConnections()
	})
	return s, nil
}

// Address returns the address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Hooks returns the fault injection hooks for tests.
func (s *Server) Hooks() *Hooks {
	return s.hooks
}

// Close closes all connections and waits for the goroutines to end.
func (s *Server) Close() {
	s.cancel(sqlErrorf(stateShutdown, "terminating connection due to administrator command"))
	s.goroutines.Wait()
}

// Wait waits until the server is stopped and all its goroutines have ended.
func (s *Server) Wait() {
	<-s.ctx.Done()
	s.goroutines.Wait()
}

func (s *Server) spawn(f func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		f()
	}()
}

// closeConnections closes the listener and all connections and stops replication.
func (s *Server) closeConnections() {
	if err := s.listener.Close(); err != nil {
		s.log.WithError(err).Warn("closing the listener")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.stopFollowing()
	for c := range s.sessions {
		c.conn.Close()
	}
	for c := range s.replicationConns {
		c.Close()
	}
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.spawn(func() { s.serve(conn) })
	}
}

// serve distinguishes replication streams from PostgreSQL connections by the first byte. A startup packet
// begins with a zero byte, since its length is below 16 MB; a replication stream begins with streamMagic.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(s.ctx, func() { conn.Close() })
	defer stop()
	r := bufio.NewReader(conn)
	first, err := r.Peek(1)
	if err != nil {
		return
	}
	if first[0] == streamMagic {
		s.serveReplica(conn, r)
		return
	}
	newSession(s, conn, r).serve()
}

// register adds a session, or returns an error if the connection limit is reached.
func (s *Server) register(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections >= s.config.Connections {
		return sqlErrorf(stateTooManyConnections, "sorry, too many clients already: the limit is %d", s.config.Connections)
	}
	s.connections++
	s.nextPID++
	c.pid = s.nextPID
	s.sessions[c] = true
	return nil
}

func (s *Server) unregister(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[c] {
		s.connections--
		delete(s.sessions, c)
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.connections
}

// terminate closes the connections whose application name starts with prefix, except the caller's, and
// returns their number.
func (s *Server) terminate(caller *session, prefix string) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for c := range s.sessions {
		if c != caller && strings.HasPrefix(c.applicationName, prefix) {
			c.cancel(sqlErrorf(stateShutdown, "terminating connection due to administrator command"))
			c.conn.Close()
			n++
		}
	}
	return n
}

// cancelStatement cancels the running statement of the session that a cancel request identifies.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for c := range s.sessions {
		if c.pid == pid && string(c.secret) == string(secret) {
			c.cancelStatement()
		}
	}
}

// commit applies the changes and appends them to the log if the instance still leads the term.
func (s *Server) commit(term position.Term, changes []rowChange) (position.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.role != RolePrimary || s.state.term != term {
		return position.Position{}, errFenced()
	}
	if err := s.applyChanges(changes); err != nil {
		return position.Position{}, err
	}
	s.state.append(logRecord{Term: term, Offset: s.state.offset() + 1, Time: time.Now(), Changes: changes})
	s.broadcastPosition()
	return position.Position{Term: term, Offset: s.state.offset()}, nil
}

// broadcastPosition wakes the goroutines that wait for a new position. The caller must hold mu.
func (s *Server) broadcastPosition() {
	close(s.positionChanged)
	s.positionChanged = make(chan struct{})
}

// currentPosition returns the reported position and a channel that is closed when it changes.
func (s *Server) currentPosition() (position.Position, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return position.Position{Term: s.state.term, Offset: s.state.offset()}, s.positionChanged
}
