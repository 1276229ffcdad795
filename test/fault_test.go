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
)

// failoverBound is the longest write gap that the design page allows.
const failoverBound = 17 * time.Second

// Guards against a session that loses its own writes when it moves to another entry VM, and against
// reads that replicas never serve.
func TestRoam(t *testing.T) {
	s := boot(t)
	w := s.must(0, "large")
	replicas := 0
	for i := range 20 {
		id := fmt.Sprint(i)
		_, err := w.Exec(t.Context(), "INSERT INTO note VALUES ($1)", id)
		require.NoError(t, err)
		r := s.must(1, "large")
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

// Guards against acknowledged writes that are lost or doubled when the primary dies.
func TestPrimaryKilled(t *testing.T) {
	s := boot(t)
	old := s.primary()
	r := s.underLoad(11, 12*time.Second, func() { s.server[old].signal(syscall.SIGKILL) })
	require.NotEqual(t, old, s.primary())
	require.Less(t, r.WriteGap, failoverBound)
}

// Guards against requests that a planned stop of an entry VM cuts.
func TestEntryStops(t *testing.T) {
	s := boot(t)
	r := s.underLoad(12, 8*time.Second, func() { s.entry[0].signal(syscall.SIGTERM) })
	require.Zero(t, s.entry[0].ends())
	require.Zero(t, r.Audit.Unknown)
	for _, a := range r.Accounts {
		require.Empty(t, a.Refusals, a.Name)
		require.Zero(t, a.Expired, a.Name)
		require.Equal(t, a.Sent, a.Done, a.Name)
	}
}

// Guards against writes that a frozen primary acknowledges after another was promoted.
func TestPrimaryFrozen(t *testing.T) {
	s := boot(t)
	old := s.primary()
	s.underLoad(13, 16*time.Second, func() {
		s.server[old].signal(syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		s.server[old].signal(syscall.SIGCONT)
	})
	require.NotEqual(t, old, s.primary())
	s.rejoined(old)
}

// rejoined waits until a server is a replica of the current primary and holds its position.
func (s *system) rejoined(server string) {
	s.t.Helper()
	c, err := connect(s.t, s.backends[server], "fireflyrudder", "")
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

// Guards against requests that a dying entry VM loses, doubles or leaves in half.
func TestEntryKilled(t *testing.T) {
	s := boot(t)
	s.underLoad(15, 8*time.Second, func() { s.entry[0].signal(syscall.SIGKILL) })
}

// Guards against a planned switchover that refuses or loses writes.
func TestSwitchover(t *testing.T) {
	s := boot(t)
	old := s.primary()
	r := s.underLoad(16, 8*time.Second, func() {
		out, err := command(t, append([]string{"switch", "--group", "main"}, repeat("--control", s.listen)...)...)
		require.NoError(t, err, out)
	})
	require.NotEqual(t, old, s.primary())
	require.Empty(t, r.RefusedWithinRate)
	require.Zero(t, r.Audit.Unknown)
}

// freezeLeader stops the control leader for a while under load.
func freezeLeader(t *testing.T) *load.Report {
	t.Helper()
	s := boot(t)
	old := s.leader()
	r := s.underLoad(14, 12*time.Second, func() {
		old.signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Second)
		old.signal(syscall.SIGCONT)
	})
	s.leader()
	return r
}

// Guards against a failure of the control leader that loses or doubles writes, and against a frozen
// leader that grants anything when it wakes up.
func TestLeaderFrozen(t *testing.T) {
	freezeLeader(t)
}

// Guards against refusing accounts within their rate when the control leader changes.
func TestLeaderFrozenRefusals(t *testing.T) {
	const most = 0.001 // measure M4 of the design page
	r := freezeLeader(t)
	require.LessOrEqual(t, r.RefusedShare, most, "%v", r.RefusedWithinRate)
}

// Guards against a withdrawn key that still works for a caller who is connected.
func TestKeyWithdrawn(t *testing.T) {
	s := boot(t)
	const bound = 3 * time.Second
	c, other := s.must(0, "small"), s.must(1, "large")
	_, err := c.Exec(t.Context(), "SELECT 1")
	require.NoError(t, err)
	require.NoError(t, s.apply("--withdraw-key", "small/main"))
	time.Sleep(bound)
	_, err = c.Exec(t.Context(), "SELECT 1")
	require.Error(t, err, "the connected caller is refused")
	for entry := range s.entry {
		_, err = s.dial(entry, "small")
		var p *pgconn.PgError
		require.True(t, errors.As(err, &p), "%v", err)
		require.Contains(t, []string{"28P01", "28000"}, p.Code)
	}
	_, err = other.Exec(t.Context(), "SELECT 1")
	require.NoError(t, err, "other accounts are not touched")
}

// Guards against a control VM that is silent for long without anyone noticing, and against a group that
// does not survive the loss of a second control VM right after the repair.
func TestSilentControlVMIsReplaced(t *testing.T) {
	const replacement = 30 * time.Second // silence after which a spare takes over
	s := boot(t)
	own := addresses(t, 2)
	peers := repeat("--peer", append([]string{own[0]}, s.listen...))
	launch(t, "spare", append([]string{"control", "--name", "spare", "--zone", zone(0), "--data", filepath.Join(t.TempDir(), "data"),
		"--listen", own[0], "--announce", own[1], "--join"}, peers...)...)
	s.eventually("the spare is a learner", func() error {
		if role := s.role(own[0]); role != "learner" {
			return errors.New("role " + role)
		}
		return nil
	})
	leader := s.leader()
	var followers []int
	for i := range s.control {
		if s.control[i] != leader {
			followers = append(followers, i)
		}
	}
	s.control[followers[0]].signal(syscall.SIGSTOP)
	time.Sleep(replacement)
	s.eventually("the spare votes and the silent control VM is out", func() error {
		spare, silent := s.role(own[0]), s.role(s.listen[followers[0]])
		if spare != "follower" || silent != "" {
			return fmt.Errorf("spare %q, silent %q", spare, silent)
		}
		return nil
	})
	s.control[followers[1]].signal(syscall.SIGKILL)
	require.NoError(t, s.apply("--withdraw-key", "small/main"))
	_, err := s.must(0, "large").Exec(t.Context(), "INSERT INTO note (id) VALUES ('after the repair')")
	require.NoError(t, err)
}
