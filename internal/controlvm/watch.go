package controlvm

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// leaderContactInterval is the time without a known leader after which a control VM ends the streams of its
// entry VMs, so that they watch another control VM before their configuration lease ends.
const leaderContactInterval = time.Second

// registrationInterval is the least time between two notices of changes of the registrations. A receiver of an earlier
// build gets all registrations each time, at most once per fullRegistrationInterval.
const (
	registrationInterval     = 200 * time.Millisecond
	fullRegistrationInterval = time.Second
)

// watcher is the state of one stream of updates to an entry VM.
type watcher struct {
	wake              chan struct{} // contains one token when there may be something to send
	eager             bool          // woken by each change of the control state; accessed by the event loop only
	version           uint64
	index             uint64
	groups            []string
	wantRegistrations bool   // the stream includes the registrations of entry VMs
	trustsEdits       bool   // the entry VM applies edits without a check; one of an earlier build refuses published accounts
	appliesParts      bool   // changes of the registrations may be sent
	marks             bool   // only the versions of updates are sent
	registrationIndex uint64 // registration index of the last update
	registrationsSent time.Time
}

// Watch sends the state that an entry VM lacks and then every change. Every control VM that is in contact
// with the leader serves it. This is safe because all state it sends is committed, and an entry VM serves
// clients only at the version that Renew returned. The first update waits until this control VM has caught up: after
// a restart it knows only an old part of the state, and the whole of that would take the place of the current one on the
// link of the entry VM.
func (s *service) Watch(r *wire.WatchRequest, stream wire.Control_WatchServer) error {
	ctx := stream.Context()
	w := &watcher{wake: make(chan struct{}, 1), version: r.Version, index: r.Index, groups: r.Groups, wantRegistrations: r.Entries, trustsEdits: r.Trusts, appliesParts: r.Parts, marks: r.Marks, registrationIndex: r.Entered}
	stop, err := s.subscribe(ctx, w)
	if err != nil {
		return statusError(err)
	}
	defer stop()
	contact := time.NewTicker(leaderContactInterval)
	defer contact.Stop()
	alone := false // no leader was known when contact was checked last
	for first := true; ; {
		u, led, err := s.nextUpdate(ctx, w, first)
		if err != nil {
			return statusError(err)
		}
		if u != nil {
			if err := s.sendUpdate(stream, w, u, first); err != nil {
				return err
			}
			first = false
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.vm.ended:
			return statusError(errStopped)
		case <-w.wake:
		case <-contact.C:
			if alone && !led {
				return status.Error(codes.Unavailable, "controlvm: this control VM hears from no leader; watch another one")
			}
			alone = !led
		}
	}
}

// subscribe signals a watcher at each change of the control state until the returned function is called.
func (s *service) subscribe(ctx context.Context, w *watcher) (stop func(), err error) {
	if err := s.vm.inbox.Do(ctx, func(time.Time) { s.vm.watchers[w] = struct{}{} }); err != nil {
		return nil, err
	}
	return func() {
		_ = s.vm.inbox.Post(context.WithoutCancel(ctx), func(time.Time) { delete(s.vm.watchers, w) }) // fails only after the process has ended
	}, nil
}

// nextUpdate returns the state that the watcher lacks and whether the leader is known. It returns no first update while
// this control VM has not caught up.
func (s *service) nextUpdate(ctx context.Context, w *watcher, first bool) (u *wire.Update, led bool, err error) {
	s.vm.metrics.lookups.Add(1)
	err = s.vm.inbox.Do(ctx, func(now time.Time) {
		led = s.vm.voter.LeaderAddress(now) != ""
		if w.eager = first && !s.vm.voter.CaughtUp(); w.eager {
			return
		}
		u = s.updateSince(w)
		index := s.vm.state.RegistrationIndex()
		tooEarly := !w.appliesParts && now.Sub(w.registrationsSent) < fullRegistrationInterval
		if !w.wantRegistrations || index <= w.registrationIndex || tooEarly {
			return
		}
		w.registrationsSent = now
		if w.marks {
			u.Entered = index
			return
		}
		s.vm.state.FillRegistrations(u, w.registrationIndex, w.appliesParts)
	})
	return u, led, err
}

// updateSince returns the update for the watcher without registrations.
func (s *service) updateSince(w *watcher) *wire.Update {
	if w.marks {
		return s.vm.state.Mark(w.groups)
	}
	u, ok := s.vm.state.UpdateSince(w.version, w.index, w.groups)
	if !ok || len(u.Edits) > 0 && s.vm.state.Published() && !w.trustsEdits {
		return s.vm.state.FullUpdate(w.groups)
	}
	return u
}

// sendUpdate sends an update unless it contains nothing new or is older than the version that the entry VM
// has. The first update of a stream is sent even if it contains nothing new.
func (s *service) sendUpdate(stream wire.Control_WatchServer, w *watcher, u *wire.Update, first bool) error {
	fresh := u.Version > w.version || len(u.Views) > 0 || u.Full != nil || u.Entered > w.registrationIndex || u.Mark && u.Index > w.index
	if u.Version < w.version || (!fresh && !first) {
		return nil
	}
	s.vm.metrics.updates.Add(1)
	if err := stream.Send(u); err != nil {
		return err
	}
	w.version, w.index, w.registrationIndex = u.Version, max(w.index, u.Index), max(w.registrationIndex, u.Entered)
	return nil
}
