package entryvm_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/standin"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// recorder forwards connections to a backend server and records every byte that is sent to it.
type recorder struct {
	mu   sync.Mutex
	sent bytes.Buffer
}

// Write records bytes sent on any of the connections.
func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.Write(p)
}

// listen returns the address of a listener whose connections are forwarded to target.
func (r *recorder) listen(t *testing.T, target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			front, err := l.Accept()
			if err != nil {
				return
			}
			back, err := net.Dial("tcp", target)
			if err != nil {
				front.Close()
				continue
			}
			go func() {
				io.Copy(io.MultiWriter(back, r), front)
				back.Close()
			}()
			go func() {
				io.Copy(front, back)
				front.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against backend servers that receive a caller's key, its account or anything else from its startup packet.
func TestServersSeeNothingOfTheCaller(t *testing.T) {
	cl := newCluster(t, 1, nil)
	s, err := standin.Start(context.Background(), standin.Config{
		Server: "watched", Group: "watched", Zone: "zone-a", Listen: "127.0.0.1:0", Slots: 3, Connections: 24, User: "system"})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	var seen recorder
	member := &wire.Member{Server: "watched", Address: seen.listen(t, s.Address()), Zone: "zone-a"}
	cl.control.change(t,
		&wire.Edit{Edit: &wire.Edit_PutGroup{PutGroup: &wire.Group{Name: "watched", Members: 1, Slots: 3, Connections: 24}}},
		&wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: &wire.Route{Name: "watched", Group: "watched", Database: "db", Accounts: []string{"tide"}}}})
	cl.control.apply(t, &wire.Entry{Entry: &wire.Entry_Admit{Admit: &wire.Admit{Group: "watched", Member: member}}})
	cl.control.apply(t, &wire.Entry{Entry: &wire.Entry_Raise{Raise: &wire.RaiseTerm{Group: "watched", Term: 1, Phase: wire.Phase_PHASE_RAISING}}})
	_, err = s.Fence(1)
	require.NoError(t, err)
	_, err = s.Promote(1)
	require.NoError(t, err)
	cl.control.apply(t, &wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{Group: "watched", Term: 1, Server: "watched"}}})

	e := cl.startEntry(nil)
	c, err := e.dial(background, "tide/second", testKey, "watched", func(c *pgx.ConnConfig) {
		c.RuntimeParams["application_name"] = "front desk tablet"
	})
	require.NoError(t, err)
	defer c.Close(background)
	exec(t, c, "CREATE TABLE watched_claim (id bigint PRIMARY KEY)")
	exec(t, c, "INSERT INTO watched_claim VALUES ($1)", 7)
	require.Equal(t, 1, queryInt(t, c, "SELECT count(*) FROM watched_claim"))

	seen.mu.Lock()
	defer seen.mu.Unlock()
	sent := seen.sent.String()
	require.Contains(t, sent, "INSERT INTO watched_claim", "the statements pass the recorder")
	for _, private := range []string{testKey, "tide", "second", "front desk tablet"} {
		require.NotContains(t, sent, private)
	}
}
