package process_test

import (
	"fmt"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/load"
	"fireflyrudder.example/fireflyrudder/internal/loopback"
)

// maxWriteGap is the longest write gap over a failover that the design page allows.
const maxWriteGap = 17 * time.Second

// Guards against a client that does not read its own writes on another entry VM, and against routing that
// sends no read to a replica.
func TestRoam(t *testing.T) {
	s := startSystem(t)
	w := s.mustDial(0, "large")
	replicas := 0
	for i := range 20 {
		id := fmt.Sprint(i)
		_, err := w.Exec(t.Context(), "INSERT INTO note VALUES ($1)", id)
		require.NoError(t, err)
		r := s.mustDial(1, "large")
		var n int
		require.NoError(t, r.QueryRow(t.Context(), "SELECT count(*) FROM note WHERE id = $1", id).Scan(&n))
		require.Equal(t, 1, n, "write %d is not visible after roaming", i)
		if r.PgConn().ParameterStatus("fireflyrudder.served") == "replica" {
			replicas++
		}
		require.NoError(t, r.Close(t.Context()))
	}
	require.Positive(t, replicas)
}

// Guards against losing or duplicating acknowledged writes when the primary is killed.
func TestPrimaryKilled(t *testing.T) {
	s := startSystem(t)
	old := s.primary()
	r := s.underLoad(11, 12*time.Second, func() { s.servers[old].signal(syscall.SIGKILL) })
	require.NotEqual(t, old, s.primary())
	require.Less(t, r.WriteGap, maxWriteGap)
}

// Guards against a graceful shutdown of an entry VM that interrupts requests.
func TestEntryStops(t *testing.T) {
	s := startSystem(t)
	r := s.underLoad(12, 8*time.Second, func() { s.entryVMs[0].signal(syscall.SIGTERM) })
	require.Zero(t, s.entryVMs[0].waitExit())
	require.Zero(t, r.Audit.Unknown)
	for _, a := range r.Accounts {
		require.Empty(t, a.Refusals, a.Name)
		require.Zero(t, a.Expired, a.Name)
		require.Equal(t, a.Sent, a.Done, a.Name)
	}
}

// Guards against a suspended primary that acknowledges writes after another server was promoted.
func TestPrimaryFrozen(t *testing.T) {
	s := startSystem(t)
	old := s.primary()
	s.underLoad(13, 16*time.Second, func() {
		s.servers[old].signal(syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		s.servers[old].signal(syscall.SIGCONT)
	})
	require.NotEqual(t, old, s.primary())
	s.waitRejoined(old)
}

// waitRejoined waits until a server is a replica of another server.
func (s *system) waitRejoined(server string) {
	s.t.Helper()
	c, err := connect(s.t, s.serverAddresses[server], "fireflyrudder", "")
	require.NoError(s.t, err)
	defer c.Close(s.t.Context())
	s.eventually(server+" follows the primary", func() error {
		var role, primary string
		if err := c.QueryRow(s.t.Context(), "SELECT role, primary_server FROM group_status()").Scan(&role, &primary); err != nil {
			return err
		}
		if role != "replica" || primary == server {
			return fmt.Errorf("%s of %s", role, primary)
		}
		return nil
	})
}

// Guards against losing, duplicating or partly applying requests when an entry VM is killed.
func TestEntryKilled(t *testing.T) {
	s := startSystem(t)
	s.underLoad(15, 8*time.Second, func() { s.entryVMs[0].signal(syscall.SIGKILL) })
}

// Guards against a planned switchover that refuses or loses writes.
func TestSwitchover(t *testing.T) {
	s := startSystem(t)
	old := s.primary()
	r := s.underLoad(16, 8*time.Second, func() {
		out, err := runCommand(t, append([]string{"switch", "--group", "main"}, repeatFlag("--control", s.controlAddresses)...)...)
		require.NoError(t, err, out)
	})
	require.NotEqual(t, old, s.primary())
	require.Empty(t, r.RefusedWithinRate)
	require.Zero(t, r.Audit.Unknown)
}

// runWithFrozenLeader suspends the control leader for 5 s under load.
func runWithFrozenLeader(t *testing.T) *load.Report {
	t.Helper()
	s := startSystem(t)
	old := s.leader()
	r := s.underLoad(14, 12*time.Second, func() {
		old.signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Second)
		old.signal(syscall.SIGCONT)
	})
	s.leader()
	return r
}

// Guards against losing or duplicating writes when the control leader does not respond, and against a
// suspended leader that still grants anything when it resumes.
func TestLeaderFrozen(t *testing.T) {
	runWithFrozenLeader(t)
}

// Guards against refusing accounts within their rate when the control leader changes.
func TestLeaderFrozenRefusals(t *testing.T) {
	const maxRefusedShare = 0.001 // measure M4 of the design page
	r := runWithFrozenLeader(t)
	require.LessOrEqual(t, r.RefusedShare, maxRefusedShare, "%v", r.RefusedWithinRate)
}

// Guards against a withdrawn key that still works on an open connection.
func TestKeyWithdrawn(t *testing.T) {
	s := startSystem(t)
	const maxWithdrawalDelay = 3 * time.Second
	c, other := s.mustDial(0, "small"), s.mustDial(1, "large")
	_, err := c.Exec(t.Context(), "SELECT 1")
	require.NoError(t, err)
	require.NoError(t, s.apply("--withdraw-key", "small/main"))
	time.Sleep(maxWithdrawalDelay)
	_, err = c.Exec(t.Context(), "SELECT 1")
	require.Error(t, err, "the open connection is refused")
	for entry := range s.entryVMs {
		_, err = s.dial(entry, "small")
		var p *pgconn.PgError
		require.True(t, errors.As(err, &p), "%v", err)
		require.Contains(t, []string{"28P01", "28000"}, p.Code)
	}
	_, err = other.Exec(t.Context(), "SELECT 1")
	require.NoError(t, err, "other accounts are not affected")
}

// Guards against an unresponsive control VM that stays a voter, and against a group that does not tolerate
// the loss of a second control VM right after a spare has replaced the first.
func TestSilentControlVMIsReplaced(t *testing.T) {
	const replacement = 30 * time.Second // time without a response after which a spare replaces a voter
	s := startSystem(t)
	spareAddresses := loopback.Addresses(t, 2)
	peers := repeatFlag("--peer", append([]string{spareAddresses[0]}, s.controlAddresses...))
	startProcess(t, "spare", append([]string{"control", "--name", "spare", "--zone", zone(0), "--data", filepath.Join(t.TempDir(), "data"),
		"--listen", spareAddresses[0], "--announce", spareAddresses[1], "--join"}, peers...)...)
	s.eventually("the spare is a learner", func() error {
		if role := s.role(spareAddresses[0]); role != "learner" {
			return errors.New("role " + role)
		}
		return nil
	})
	leader := s.leader()
	var followers []int
	for i := range s.controlVMs {
		if s.controlVMs[i] != leader {
			followers = append(followers, i)
		}
	}
	s.controlVMs[followers[0]].signal(syscall.SIGSTOP)
	time.Sleep(replacement)
	s.eventually("the spare votes and the silent control VM is out", func() error {
		spare, silent := s.role(spareAddresses[0]), s.role(s.controlAddresses[followers[0]])
		if spare != "follower" || silent != "" {
			return fmt.Errorf("spare %q, silent %q", spare, silent)
		}
		return nil
	})
	s.controlVMs[followers[1]].signal(syscall.SIGKILL)
	require.NoError(t, s.apply("--withdraw-key", "small/main"))
	_, err := s.mustDial(0, "large").Exec(t.Context(), "INSERT INTO note (id) VALUES ('after the repair')")
	require.NoError(t, err)
}
