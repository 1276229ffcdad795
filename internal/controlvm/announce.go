package controlvm

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/failover"
	"fireflyrudder.example/fireflyrudder/internal/httpserver"
	"fireflyrudder.example/fireflyrudder/internal/wire"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// maxAnnouncementBytes bounds the body of an announcement, in bytes.
const maxAnnouncementBytes = 64 << 10

// announcement is the JSON body that a backend server posts every 500 ms.
type announcement struct {
	Server      string `json:"server"`
	Group       string `json:"group"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Role        string `json:"role"`
	Term        uint64 `json:"term"`
	LastTerm    uint64 `json:"last_term"`
	Pos         uint64 `json:"pos"`
	History     string `json:"history"`
	Promised    uint64 `json:"promised"`
	Primary     string `json:"primary"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// report converts the announcement to a report for the failover policy.
func (a *announcement) report() (failover.Report, error) {
	if err := controlstate.CheckMember(&wire.Member{Server: a.Server, Address: a.Address, Zone: a.Zone}); err != nil {
		return failover.Report{}, err
	}
	history, err := position.ParseHistory(a.History)
	if err != nil {
		return failover.Report{}, err
	}
	i := instance{
		Server: a.Server, Group: a.Group, Role: a.Role, Term: a.Term, LastTerm: a.LastTerm, Pos: a.Pos,
		History: history, Primary: a.Primary, Promised: a.Promised, Slots: a.Slots, Connections: a.Connections,
	}
	r := i.report(a.Address)
	r.Zone = a.Zone
	return r, nil
}

// announceStopGrace is the time that accepted announcements get when the process stops.
const announceStopGrace = time.Second

// serveAnnouncements serves POST /announce until the context ends.
func (vm *VM) serveAnnouncements(ctx context.Context) error {
	listener := vm.options.Announce
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", vm.options.Control.Announce); err != nil {
			return errors.WithHint(errors.Wrap(err, "controlvm"), "choose another address for --announce, or stop the process that uses it")
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", vm.handleAnnouncement)
	return errors.Wrap(httpserver.Serve(ctx, listener, mux, announceStopGrace), "controlvm: announcement listener")
}

// handleAnnouncement posts an announcement to the event loop.
func (vm *VM) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, "controlvm: malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	report, err := a.report()
	if err != nil {
		http.Error(w, "controlvm: malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	vm.metrics.announced.Add(1)
	err = vm.inbox.Post(r.Context(), func(now time.Time) { vm.stepPolicy(now, failover.Announced{Report: report}) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
