package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond // shorter than the interval, so that requests do not overlap
)

// Announcement is the body of POST /announce.
type Announcement struct {
	Server      string `json:"server"`
	Group       string `json:"group"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Role        Role   `json:"role"`
	Term        uint64 `json:"term"`
	LastTerm    uint64 `json:"last_term"`
	Pos         uint64 `json:"pos"`
	History     string `json:"history"`
	Promised    uint64 `json:"promised"`
	Primary     string `json:"primary"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// announcement returns the current state of the instance.
func (s *Server) announcement() Announcement {
	t := s.Status()
	return Announcement{
		Server: t.Server, Group: t.Group, Address: s.Address(), Zone: s.config.Zone, Role: t.Role, Term: uint64(t.Term),
		LastTerm: uint64(t.LastTerm), Pos: uint64(t.Offset), History: t.History.String(), Promised: uint64(t.Promised),
		Primary: t.Primary, Slots: t.Slots, Connections: t.Connections,
	}
}

// announceLoop posts announcements to one address until the instance stops. A failed one is not retried
// before the next interval.
func (s *Server) announceLoop(address string) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := s.postAnnouncement(client, address); err != nil {
			s.log.WithError(err).WithField("address", address).Debug("announcement failed")
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) postAnnouncement(client *http.Client, address string) error {
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := client.Do(q)
	if err != nil {
		return err
	}
	return r.Body.Close()
}
