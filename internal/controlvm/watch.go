package controlvm

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// leaderContactInterval is the silence of the leader after which a control VM ends the streams of its entry
// VMs, so that they watch another one before their configuration lease ends.
const leaderContactInterval = time.Second

// watcher is one stream of updates to an entry VM.
type watcher struct {
	wake                 chan struct{} // holds one token when the book has changed
	version              uint64
	index                uint64
	groups               []string
	wantRegistrations    bool   // it wants to know the entry VMs
	registrationsVersion uint64 // of the registrations sent last
}

// Watch sends the state an entry VM lacks and then every change. Every control VM that hears from
// the leader serves it: what it sends is committed, and an entry VM serves callers only at the
// version that Renew names.
func (s *service) Watch(r *wire.WatchRequest, stream wire.Control_WatchServer) error {
	ctx := stream.Context()
	w := &watcher{wake: make(chan struct{}, 1), version: r.Version, index: r.Index, groups: r.Groups, wantRegistrations: r.Entries, registrationsVersion: r.Entered}
	stop, err := s.subscribe(ctx, w)
	if err != nil {
		return statusError(err)
	}
	defer stop()
	contact := time.NewTicker(leaderContactInterval)
	defer contact.Stop()
	lost := 0
	for first := true; ; first = false {
		u, led, err := s.nextUpdate(ctx, w)
		if err != nil {
			return statusError(err)
		}
		if lost++; led {
			lost = 0
		}
		if lost > 1 {
			return status.Error(codes.Unavailable, "controlvm: this control VM hears from no leader; watch another one")
		}
		if err := s.sendUpdate(stream, w, u, first); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.vm.ended:
			return statusError(errStopped)
		case <-w.wake:
		case <-contact.C:
		}
	}
}

// subscribe wakes a watcher at each change of the book until the returned function is called.
func (s *service) subscribe(ctx context.Context, w *watcher) (stop func(), err error) {
	if err := s.vm.inbox.Do(ctx, func(time.Time) { s.vm.watchers[w] = struct{}{} }); err != nil {
		return nil, err
	}
	return func() {
		_ = s.vm.inbox.Post(context.WithoutCancel(ctx), func(time.Time) { delete(s.vm.watchers, w) }) // it fails once the process has ended
	}, nil
}

// nextUpdate returns what the watcher lacks and whether the leader is known.
func (s *service) nextUpdate(ctx context.Context, w *watcher) (u *wire.Update, led bool, err error) {
	err = s.vm.inbox.Do(ctx, func(now time.Time) {
		led = s.vm.voter.LeaderAddress(now) != ""
		var ok bool
		if u, ok = s.vm.book.UpdateSince(w.version, w.index, w.groups); !ok {
			u = s.vm.book.FullUpdate(w.groups)
		}
		if entered := s.vm.book.RegistrationIndex(); w.wantRegistrations && entered > w.registrationsVersion {
			u.Entries, u.Entered = s.vm.book.Registrations(), entered
		}
	})
	return u, led, err
}

// sendUpdate sends an update unless it brings nothing new or is older than what the entry VM holds.
func (s *service) sendUpdate(stream wire.Control_WatchServer, w *watcher, u *wire.Update, first bool) error {
	fresh := u.Version > w.version || len(u.Views) > 0 || u.Full != nil || u.Entered > w.registrationsVersion
	if u.Version < w.version || (!fresh && !first) {
		return nil
	}
	s.vm.metrics.updates.Add(1)
	if err := stream.Send(u); err != nil {
		return err
	}
	w.version, w.index, w.registrationsVersion = u.Version, max(w.index, u.Index), max(w.registrationsVersion, u.Entered)
	return nil
}
