package entryvm_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/entryvm"
)

// Guards against pipelines whose answers are assigned to the wrong statements, with statements that are prepared
// within the pipeline and with an error in the middle.
func TestPipelines(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	createClaimTable(t, c)
	batch := &pgx.Batch{}
	for i := range 300 {
		batch.Queue("INSERT INTO claim (id, owner) VALUES ($1, $2)", i, "owner")
		batch.Queue("SELECT owner FROM claim WHERE id = $1", i)
	}
	results := c.SendBatch(background, batch)
	for range 300 {
		_, err := results.Exec()
		require.NoError(t, err)
		var owner string
		require.NoError(t, results.QueryRow().Scan(&owner))
		require.Equal(t, "owner", owner)
	}
	require.NoError(t, results.Close())

	failing := &pgx.Batch{}
	failing.Queue("INSERT INTO claim (id, owner) VALUES (1000, 'x')")
	failing.Queue("INSERT INTO claim (id, owner) VALUES (1, 'twice')")
	failing.Queue("INSERT INTO claim (id, owner) VALUES (1001, 'x')")
	require.Equal(t, "23505", sqlState(c.SendBatch(background, failing).Close()))
	require.Equal(t, 300, queryInt(t, c, "SELECT count(*) FROM claim"), "the whole pipeline rolled back")
}

// Guards against a deadlock in which the server waits for its answers to be read while the VM writes the rest of a
// large request.
func TestLargePipelineDoesNotBlock(t *testing.T) {
	cl := newCluster(t, 1, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	batch := &pgx.Batch{}
	large := strings.Repeat("x", 20_000)
	const statements = 500
	for range statements {
		batch.Queue("SELECT $1::text", large)
	}
	results := c.SendBatch(background, batch)
	for range statements {
		var got string
		require.NoError(t, results.QueryRow().Scan(&got))
		require.Len(t, got, len(large))
	}
	require.NoError(t, results.Close())
}

// Guards against settings that leak from one session to another, or that do not follow their session to another
// connection.
func TestSettingsFollowTheirSession(t *testing.T) {
	cl := newCluster(t, 3, func(_ int, c *standinConfig) { c.Connections = 4 })
	e := cl.startEntry(nil)
	a, b := e.connect(t, nil), e.connect(t, nil)
	exec(t, a, "SET work_mem = 'first'")
	exec(t, b, "SET work_mem = 'second'")
	show := func(c *pgx.Conn) string {
		var text string
		err := c.QueryRow(background, "SHOW work_mem", pgx.QueryExecModeSimpleProtocol).Scan(&text)
		if sqlState(err) == "42704" { // the simulated server has only the parameters set on the connection
			return "unset"
		}
		require.NoError(t, err)
		return text
	}
	for range 10 {
		require.Equal(t, "first", show(a))
		require.Equal(t, "second", show(b))
		require.Equal(t, "unset", show(e.connect(t, nil)))
	}
	exec(t, a, "BEGIN")
	exec(t, a, "SET work_mem = 'undone'")
	exec(t, a, "ROLLBACK")
	require.Equal(t, "first", show(a))
	exec(t, a, "RESET work_mem")
	require.Equal(t, "unset", show(a))
	exec(t, a, "SET application_name = 'enroll'")
	var name string
	require.NoError(t, a.QueryRow(background, "SHOW application_name").Scan(&name))
	require.Equal(t, "enroll", name)
	exec(t, b, "DISCARD ALL")
	require.Equal(t, "unset", show(b))
}

// Guards against a Flush that is not answered, and against an answer to a write before its confirmation.
func TestFlush(t *testing.T) {
	cl := newCluster(t, 3, nil)
	e := cl.startEntry(nil)
	c := e.connect(t, nil)
	createClaimTable(t, c)
	hijacked, err := c.PgConn().Hijack()
	require.NoError(t, err)
	defer hijacked.Conn.Close()
	f := hijacked.Frontend
	send := func(messages ...pgproto3.FrontendMessage) {
		for _, m := range messages {
			f.Send(m)
		}
		require.NoError(t, f.Flush())
	}
	receive := func(want pgproto3.BackendMessage) {
		t.Helper()
		hijacked.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		got, err := f.Receive()
		require.NoError(t, err)
		// The VM may report which kind of server ran a read, and the session token, at any time before ReadyForQuery.
		for status, ok := got.(*pgproto3.ParameterStatus); ok; status, ok = got.(*pgproto3.ParameterStatus) {
			require.Contains(t, status.Name, "fireflyrudder.")
			got, err = f.Receive()
			require.NoError(t, err)
		}
		require.IsType(t, want, got)
	}
	send(&pgproto3.Parse{Name: "s", Query: "SELECT id FROM claim"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{})
	receive(&pgproto3.ParseComplete{})
	receive(&pgproto3.ParameterDescription{})
	receive(&pgproto3.RowDescription{})
	send(&pgproto3.Sync{})
	receive(&pgproto3.ReadyForQuery{})
	send(&pgproto3.Parse{Query: "INSERT INTO claim (id, owner) VALUES (1, 'a')"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
	receive(&pgproto3.ErrorResponse{})
	send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	receive(&pgproto3.ReadyForQuery{})
	send(&pgproto3.Query{String: "BEGIN"})
	receive(&pgproto3.CommandComplete{})
	receive(&pgproto3.ReadyForQuery{})
	send(&pgproto3.Bind{PreparedStatement: "s", DestinationPortal: "p"}, &pgproto3.Execute{Portal: "p"}, &pgproto3.Flush{})
	receive(&pgproto3.BindComplete{})
	receive(&pgproto3.CommandComplete{})
	send(&pgproto3.Sync{})
	receive(&pgproto3.ReadyForQuery{})
	send(&pgproto3.Query{String: "COMMIT"})
	receive(&pgproto3.CommandComplete{})
	receive(&pgproto3.ReadyForQuery{})
	send(&pgproto3.Execute{Portal: "p"}, &pgproto3.Sync{})
	receive(&pgproto3.ErrorResponse{})
	receive(&pgproto3.ReadyForQuery{})
}

// Guards against TLS connections of callers that fail.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	cl := newCluster(t, 1, nil)
	e := cl.startEntry(func(o *entryvm.Options) {
		o.TLS = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	})
	roots := x509.NewCertPool()
	roots.AddCert(certificate)
	c := e.connect(t, func(p *pgx.ConnConfig) { p.TLSConfig = &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"} })
	require.Equal(t, 1, queryInt(t, c, "SELECT 1"))
}
