package standin

import (
	"context"
	"encoding/gob"
	"io"
	"net"
	"time"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Replication stream: the replica sends streamMagic and a streamRequest, the primary replies with a
// streamGreeting, the replica sends a streamStart, and the primary sends batches of streamRecords. All are
// gob values.
const (
	streamMagic      = 'R'
	streamRetryDelay = 50 * time.Millisecond  // delay before the next connection attempt
	streamTimeout    = 2 * time.Second        // for each step, and for the silence of a primary
	streamHeartbeat  = 300 * time.Millisecond // interval of empty batches on an idle stream
	streamBatchSize  = 256                    // records per batch
)

func init() {
	gob.Register(time.Time{})
}

// streamRequest requests the log of the primary of a term.
type streamRequest struct {
	Server string
	Term   position.Term
}

// streamGreeting describes the primary's log. OK is false if the instance does not lead the requested term.
type streamGreeting struct {
	OK      bool
	Server  string
	History position.History
	Offset  position.Offset
}

// streamStart is the offset after which the replica needs records.
type streamStart struct {
	Offset position.Offset
}

// streamRecords is a batch of records. An empty batch is a heartbeat.
type streamRecords struct {
	Records []logRecord
}

// serveReplica sends the log to a replica until the instance no longer leads the term.
func (s *Server) serveReplica(conn net.Conn, r io.Reader) {
	s.mu.Lock()
	s.replicationConns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.replicationConns, conn)
		s.mu.Unlock()
	}()
	var mark [1]byte
	if _, err := io.ReadFull(r, mark[:]); err != nil {
		return
	}
	in, out := gob.NewDecoder(r), gob.NewEncoder(conn)
	var q streamRequest
	if err := in.Decode(&q); err != nil {
		return
	}
	g := s.greeting(q.Term)
	if err := out.Encode(g); err != nil || !g.OK {
		return
	}
	var start streamStart
	if err := in.Decode(&start); err != nil {
		return
	}
	s.sendRecords(conn, out, q.Term, start.Offset)
}

func (s *Server) greeting(term position.Term) streamGreeting {
	t := s.Status()
	return streamGreeting{OK: t.Role == RolePrimary && t.Term == term, Server: t.Server, History: t.History, Offset: t.Offset}
}

// sendRecords sends the records after the given offset, and later ones as they are committed.
func (s *Server) sendRecords(conn net.Conn, out *gob.Encoder, term position.Term, after position.Offset) {
	for {
		records, changed, ok := s.recordsAfter(term, after)
		if !ok {
			return
		}
		if len(records) == 0 {
			timer := time.NewTimer(streamHeartbeat)
			select {
			case <-changed:
				timer.Stop()
				continue
			case <-timer.C:
			case <-s.ctx.Done():
				return
			}
		}
		err := conn.SetWriteDeadline(time.Now().Add(streamTimeout))
		if err != nil || out.Encode(streamRecords{records}) != nil {
			return
		}
		after += position.Offset(len(records))
	}
}

func (s *Server) recordsAfter(term position.Term, after position.Offset) ([]logRecord, <-chan struct{}, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	g := &s.state
	if g.role != RolePrimary || g.term != term || after > g.offset() {
		return nil, nil, false
	}
	last := min(after+streamBatchSize, g.offset())
	return g.records[after:last:last], s.positionChanged, true
}

// replicationLoop replicates from a primary until ctx is done. It reconnects whenever the stream ends.
func (s *Server) replicationLoop(ctx context.Context, f followTarget) {
	for ctx.Err() == nil {
		if err := s.runReplicationStream(ctx, f); err != nil {
			s.log.WithError(err).WithField("primary", f.address).Debug("replication stream ended")
		}
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// runReplicationStream connects to the primary and applies its records until the stream ends.
func (s *Server) runReplicationStream(ctx context.Context, f followTarget) error {
	d := net.Dialer{Timeout: streamTimeout}
	conn, err := d.DialContext(ctx, "tcp", f.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	release := s.hooks.trackStream(conn)
	defer release()
	if s.hooks.isolated.Load() {
		return nil
	}
	if err := conn.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte{streamMagic}); err != nil {
		return err
	}
	in, out := gob.NewDecoder(conn), gob.NewEncoder(conn)
	if err := out.Encode(streamRequest{Server: s.config.Server, Term: f.term}); err != nil {
		return err
	}
	var g streamGreeting
	if err := in.Decode(&g); err != nil || !g.OK {
		return err
	}
	after, ok := s.reconcileLog(ctx, f, g)
	if !ok {
		return nil
	}
	if err := out.Encode(streamStart{after}); err != nil {
		return err
	}
	return s.receiveRecords(ctx, conn, in, g.History)
}

// receiveRecords receives records and applies each once the hooks allow it.
func (s *Server) receiveRecords(ctx context.Context, conn net.Conn, in *gob.Decoder, history position.History) error {
	for {
		if err := conn.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
			return err
		}
		var batch streamRecords
		if err := in.Decode(&batch); err != nil {
			return err
		}
		for _, r := range batch.Records {
			if err := s.hooks.waitUntilDue(ctx, r.Time); err != nil {
				return err
			}
			if !s.applyRecord(ctx, r, history) {
				return nil
			}
		}
	}
}

// reconcileLog truncates the log to its common prefix with the primary's and adopts the term. It returns the
// offset after which records are needed.
func (s *Server) reconcileLog(ctx context.Context, f followTarget, g streamGreeting) (position.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return 0, false
	}
	state := &s.state
	common := commonPrefix(state.records, g.History, g.Offset)
	if common < state.offset() {
		s.log.WithField("offset", state.offset()).WithField("common", common).Info("truncating log records that are not in the log of the primary")
		if err := s.truncateLog(common); err != nil {
			s.log.WithError(err).Error("rebuilding the tables from the truncated log failed")
			return 0, false
		}
	}
	state.role, state.term, state.primary = RoleReplica, f.term, g.Server
	state.history = historyUpTo(g.History, state.offset())
	select {
	case <-f.reconciled:
	default:
		close(f.reconciled)
	}
	s.broadcastPosition()
	return common, true
}

// commonPrefix returns the offset of the last record that a log shares with the primary's. Each term has one
// primary, so records with equal term and offset are equal, and so are all before them.
func commonPrefix(records []logRecord, history position.History, end position.Offset) position.Offset {
	for o := min(position.Offset(len(records)), end); o > 0; o-- {
		if records[o-1].Term == termAt(history, o) {
			return o
		}
	}
	return 0
}

// termAt returns the term of the record at an offset.
func termAt(history position.History, o position.Offset) position.Term {
	term := position.Term(0)
	for _, start := range history {
		if start.Offset < o {
			term = start.Term
		}
	}
	return term
}

// historyUpTo returns the terms that began at or before an offset.
func historyUpTo(history position.History, o position.Offset) position.History {
	var h position.History
	for _, start := range history {
		if start.Offset <= o {
			h = append(h, start)
		}
	}
	return h
}

// truncateLog removes the records after an offset and rebuilds the tables. The caller must hold mu.
func (s *Server) truncateLog(o position.Offset) error {
	s.state.records = append([]logRecord{}, s.state.records[:o]...)
	s.tables = map[string]*table{}
	for _, r := range s.state.records {
		if err := s.applyChanges(r.Changes); err != nil {
			return err
		}
	}
	return nil
}

// applyRecord applies one record of the primary. It returns false if the stream must end.
func (s *Server) applyRecord(ctx context.Context, r logRecord, history position.History) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || r.Offset != s.state.offset()+1 {
		return false
	}
	if err := s.applyChanges(r.Changes); err != nil {
		s.log.WithError(err).Error("applying a replicated record failed")
		return false
	}
	s.state.append(r)
	s.state.history = historyUpTo(history, r.Offset)
	s.broadcastPosition()
	return true
}
