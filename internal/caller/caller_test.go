package caller_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// testAuthorizer is an Authorizer with one account.
type testAuthorizer struct {
	verifier caller.Verifier
}

func (d *testAuthorizer) FindVerifier(account, key string) (caller.Verifier, bool) {
	return d.verifier, account == "tide" && key == "main"
}

func (d *testAuthorizer) Authorize(s *caller.Startup) *outcome.Error {
	if s.Route == "closed" {
		return outcome.New(outcome.AccessDenied, "no", "ask")
	}
	return nil
}

func newTestAuthorizer(t testing.TB) *testAuthorizer {
	t.Helper()
	text, err := caller.NewVerifier("secret", "some salt", 4096)
	require.NoError(t, err)
	v, err := caller.ParseVerifier(text)
	require.NoError(t, err)
	return &testAuthorizer{verifier: v}
}

// listen accepts connections until the end of the test and sends those that completed the startup.
func listen(t testing.TB, a *caller.Acceptor) (address string, accepted chan *caller.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	accepted = make(chan *caller.Conn, 16)
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if c, err := a.Accept(n); err == nil && c != nil {
					accepted <- c
				}
			}()
		}
	}()
	return l.Addr().String(), accepted
}

// Guards against verifiers that reject PostgreSQL clients with the right key, against accepting a wrong key,
// and against accepting malformed verifiers.
func TestStartup(t *testing.T) {
	a := caller.NewAcceptor(newTestAuthorizer(t), func(caller.CancelRequest) {}, nil)
	address, accepted := listen(t, a)
	go func() {
		c := <-accepted
		c.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte("1234")})
		c.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		c.Flush()
	}()
	c, err := pgconn.Connect(t.Context(), "postgres://tide:secret@"+address+"/route?sslmode=disable&options=-c%20fireflyrudder.age%3D5s&fireflyrudder.request=x")
	require.NoError(t, err)
	c.Close(context.Background())
	for _, bad := range []string{"tide:wrong@" + address + "/route", "nobody:secret@" + address + "/route", "tide%2Fother:secret@" + address + "/route"} {
		_, err := pgconn.Connect(t.Context(), "postgres://"+bad+"?sslmode=disable")
		var e *pgconn.PgError
		require.ErrorAs(t, err, &e, bad)
		require.Equal(t, "28P01", e.Code, bad)
	}
	for _, text := range []string{"", "md5abc", "SCRAM-SHA-256$0:AAAA$AAAA:AAAA", "SCRAM-SHA-256$4096:AAAA$AAAA:AAAA", "SCRAM-SHA-256$4096"} {
		_, err := caller.ParseVerifier(text)
		require.Error(t, err, text)
	}
}

// open connects as the public user and completes the startup.
func open(t testing.TB, a *caller.Acceptor) (net.Conn, *caller.Conn) {
	t.Helper()
	address, accepted := listen(t, a)
	n, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { n.Close() })
	b, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "public", "database": "r"}}).Encode(nil)
	require.NoError(t, err)
	_, err = n.Write(b)
	require.NoError(t, err)
	c := <-accepted
	t.Cleanup(c.Close)
	return n, c
}

// Guards against a client that exhausts the memory with one large message.
func TestLargeMessageIsRefused(t *testing.T) {
	a := caller.NewAcceptor(newTestAuthorizer(t), func(caller.CancelRequest) {}, nil)
	a.MaxMessage = 1000
	n, c := open(t, a)
	n.Write(append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, 1<<30)...))
	_, err := c.Receive()
	var large *pgproto3.ExceededMaxBodyLenErr
	require.ErrorAs(t, err, &large)
}

// Guards against a client that does not read and so blocks a connection to a backend server.
func TestSlowReaderIsGivenUp(t *testing.T) {
	a := caller.NewAcceptor(newTestAuthorizer(t), func(caller.CancelRequest) {}, nil)
	a.WriteTimeout = 50 * time.Millisecond
	_, c := open(t, a)
	row := &pgproto3.DataRow{Values: [][]byte{make([]byte, 60_000)}}
	var err error
	for range 1000 {
		if err = c.Send(row); err != nil {
			break
		}
	}
	var network net.Error
	require.ErrorAs(t, err, &network)
	require.True(t, network.Timeout())
}

// Guards against losing a message because Interrupt was called while it was partially received.
func TestInterruptKeepsPartialMessage(t *testing.T) {
	n, c := open(t, caller.NewAcceptor(newTestAuthorizer(t), func(caller.CancelRequest) {}, nil))
	b, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	require.NoError(t, err)
	n.Write(b[:7])
	time.AfterFunc(20*time.Millisecond, c.Interrupt)
	_, err = c.Receive()
	require.Error(t, err)
	require.True(t, c.Interrupted())
	c.Resume()
	n.Write(b[7:])
	m, err := c.Receive()
	require.NoError(t, err)
	require.Equal(t, "SELECT 1", m.(*pgproto3.Query).String)
}

// Guards against startups and messages that crash the process or keep a connection open indefinitely.
func FuzzMessages(f *testing.F) {
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "public", "database": "r", "options": `-c fireflyrudder.age=5s --x=\ y`}}).Encode(nil)
	query, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	bind, _ := (&pgproto3.Bind{Parameters: [][]byte{[]byte("x"), nil}}).Encode(nil)
	cancel, _ := (&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte("1234")}).Encode(nil)
	f.Add(append(append([]byte{}, startup...), query...))
	f.Add(append(append([]byte{}, startup...), bind...))
	f.Add(cancel)
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	a := caller.NewAcceptor(newTestAuthorizer(f), func(caller.CancelRequest) {}, nil)
	a.StartupTimeout = time.Second
	a.MaxMessage = 1 << 16
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go io.Copy(io.Discard, client)
		go func() {
			client.SetWriteDeadline(time.Now().Add(time.Second))
			client.Write(data)
			client.Close()
		}()
		c, err := a.Accept(server)
		if err != nil || c == nil {
			return
		}
		defer c.Close()
		for {
			if _, err := c.Receive(); err != nil {
				return
			}
		}
	})
}
