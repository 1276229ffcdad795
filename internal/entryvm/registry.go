package entryvm

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
)

// registry contains the caller sessions of the VM. It is safe for concurrent use.
type registry struct {
	mu      sync.Mutex
	all     map[uint32]*callerSession // by process id
	next    uint64
	emptied *sync.Cond
}

func newRegistry() *registry {
	r := &registry{all: make(map[uint32]*callerSession)}
	r.emptied = sync.NewCond(&r.mu)
	return r
}

// add adds a session and assigns its id, process id and secret. Process id and secret are random, so that cancel
// requests cannot be guessed.
func (r *registry) add(s *callerSession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	s.id = r.next
	for {
		var b [8]byte
		rand.Read(b[:]) //nolint:errcheck // never fails by its contract
		s.pid = binary.BigEndian.Uint32(b[:4]) & 0x7fffffff
		s.secretKey = binary.BigEndian.Uint32(b[4:])
		if _, taken := r.all[s.pid]; s.pid != 0 && !taken {
			break
		}
	}
	r.all[s.pid] = s
}

func (r *registry) remove(s *callerSession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, s.pid)
	if len(r.all) == 0 {
		r.emptied.Broadcast()
	}
}

func (r *registry) find(pid uint32) *callerSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[pid]
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.all)
}

// list returns the current sessions.
func (r *registry) list() []*callerSession {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*callerSession, 0, len(r.all))
	for _, s := range r.all {
		all = append(all, s)
	}
	return all
}

// waitEmpty returns a channel that is closed once there is no session.
func (r *registry) waitEmpty() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for len(r.all) > 0 {
			r.emptied.Wait()
		}
		close(done)
	}()
	return done
}
