package controlvm

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxAnnouncement bounds the body of an announcement, in bytes.
const maxAnnouncement = 64 << 10

// announcement is what a backend server posts every 500 ms.
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

// announcements answers POST /announce until the context ends.
func (vm *VM) announcements(ctx context.Context) error {
	listener := vm.options.Announce
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", vm.options.Control.Announce); err != nil {
			return errors.WithHint(errors.Wrap(err, "controlvm"), "choose another address for --announce, or stop the process that uses it")
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", vm.announce)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "controlvm: announcement listener")
}

// announce hands an announcement to the loop.
func (vm *VM) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		http.Error(w, "controlvm: malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	vm.metrics.announced.Add(1)
	w.WriteHeader(http.StatusNoContent)
}
