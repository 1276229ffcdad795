package process_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"

	"fireflyrudder.example/fireflyrudder/internal/load"
	"fireflyrudder.example/fireflyrudder/internal/loopback"
)

// Sizes of the system under test.
const (
	controlVMCount = 3
	entryVMCount   = 2
	serverCount    = 3
)

// accounts lists the client accounts. Each has a key named main, whose password is the account name followed
// by "-key".
var accounts = []string{"large", "small"}

// system is a control group, entry VMs and one database group.
type system struct {
	t                *testing.T
	controlVMs       []*process
	entryVMs         []*process
	servers          map[string]*process
	controlAddresses []string // gRPC listeners of the control VMs
	entryAddresses   []string // PostgreSQL listeners of the entry VMs
	serverAddresses  map[string]string
}

// startSystem starts the system and waits until a write succeeds.
func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, servers: map[string]*process{}, serverAddresses: map[string]string{}}
	s.controlAddresses = loopback.Addresses(t, controlVMCount)
	announce := loopback.Addresses(t, controlVMCount)
	for i := range controlVMCount {
		args := []string{"control", "--name", fmt.Sprintf("control-%d", i), "--zone", zone(i), "--data", filepath.Join(t.TempDir(), "data"), "--listen", s.controlAddresses[i], "--announce", announce[i]}
		s.controlVMs = append(s.controlVMs, startProcess(t, args[2], append(args, repeatFlag("--peer", s.controlAddresses)...)...))
	}
	for i, address := range loopback.Addresses(t, serverCount) {
		name := string(rune('a' + i))
		args := []string{"standin", "--server-name", name, "--group", "main", "--zone", zone(i), "--listen", address, "--open", "12ms", "--connections", "24", "--slots", "3"}
		s.servers[name] = startProcess(t, "server "+name, append(args, repeatFlag("--announce", announce)...)...)
		s.serverAddresses[name] = address
	}
	s.configure()
	s.entryAddresses = loopback.Addresses(t, entryVMCount)
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("a secret of the test that signs session tokens"), 0o600))
	for i, address := range s.entryAddresses {
		args := []string{"entry", "--name", fmt.Sprintf("entry-%d", i), "--zone", zone(i), "--listen", address, "--token-file", token}
		s.entryVMs = append(s.entryVMs, startProcess(t, args[2], append(args, repeatFlag("--control", s.controlAddresses)...)...))
	}
	s.eventually("a write succeeds", func() error {
		c, err := s.dial(0, "large")
		if err != nil {
			return err
		}
		defer c.Close(context.Background())
		_, err = c.Exec(t.Context(), "CREATE TABLE IF NOT EXISTS note (id text PRIMARY KEY)")
		return err
	})
	return s
}

func zone(i int) string {
	return "zone-" + string(rune('a'+i%3))
}

// repeatFlag returns arguments that give a flag once per value.
func repeatFlag(flag string, values []string) []string {
	var out []string
	for _, v := range values {
		out = append(out, flag, v)
	}
	return out
}

// configure applies the configuration of the tests.
func (s *system) configure() {
	s.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "[group main]\nmembers = %d\nslots = 3\nconnections = 24\n", serverCount)
	for _, a := range accounts {
		fmt.Fprintf(&b, "[account %s]\nrate = 400\nburst = 200\n[key %s/main]\nverifier = %s\n", a, a, verifier(s.t, a+"-key"))
	}
	fmt.Fprintf(&b, "[route main]\ngroup = main\ndatabase = main\naccounts = %s\n", strings.Join(accounts, ", "))
	file := filepath.Join(s.t.TempDir(), "configuration.ini")
	require.NoError(s.t, os.WriteFile(file, []byte(b.String()), 0o600))
	s.eventually("the configuration is accepted", func() error { return s.apply("--file", file) })
}

// apply changes the configuration.
func (s *system) apply(args ...string) error {
	out, err := runCommand(s.t, append(append([]string{"apply"}, repeatFlag("--control", s.controlAddresses)...), args...)...)
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// verifier returns the SCRAM-SHA-256 verifier of a key in the format of PostgreSQL.
func verifier(t *testing.T, key string) string {
	t.Helper()
	client, err := scram.SHA256.NewClient("", key, "")
	require.NoError(t, err)
	const salt, iterations = "salt of the test", 4096
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	require.NoError(t, err)
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", iterations, encode([]byte(salt)), encode(c.StoredKey), encode(c.ServerKey))
}

// eventually repeats f until it succeeds, and fails the test after waitTimeout.
func (s *system) eventually(what string, f func() error) {
	s.t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = f(); err == nil {
			return
		}
	}
	require.NoError(s.t, err, what)
}

// dial connects to an entry VM.
func (s *system) dial(entry int, account string) (*pgx.Conn, error) {
	return connect(s.t, s.entryAddresses[entry], account+"/main", account+"-key")
}

func connect(t *testing.T, address, user, password string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://" + address + "/main?sslmode=disable&connect_timeout=3")
	if err != nil {
		return nil, err
	}
	c.User, c.Password = user, password
	return pgx.ConnectConfig(t.Context(), c)
}

// mustDial connects to an entry VM until the end of the test.
func (s *system) mustDial(entry int, account string) *pgx.Conn {
	s.t.Helper()
	c, err := s.dial(entry, account)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// statusReply is the part of the output of status --json that the tests use.
type statusReply struct {
	Leader string `json:"leader"`
	Voters []struct {
		Address string `json:"address"`
		Role    string `json:"role"`
	} `json:"voters"`
	Views []struct {
		Group   string `json:"group"`
		Term    string `json:"term"`
		Primary string `json:"primary"`
	} `json:"views"`
}

// status runs the status command. It fails while there is no leader or no primary.
func (s *system) status() (statusReply, error) {
	out, err := runCommand(s.t, append([]string{"status", "--json"}, repeatFlag("--control", s.controlAddresses)...)...)
	if err != nil {
		return statusReply{}, fmt.Errorf("%w: %s", err, out)
	}
	var reply statusReply
	if err := json.Unmarshal([]byte(out), &reply); err != nil {
		return statusReply{}, err
	}
	if reply.Leader == "" || len(reply.Views) != 1 || reply.Views[0].Primary == "" {
		return reply, fmt.Errorf("no leader or primary: %s", out)
	}
	return reply, nil
}

// role returns the role of a control VM in the control group, or "" if it is not listed.
func (s *system) role(address string) string {
	reply, err := s.status()
	if err != nil {
		return ""
	}
	for _, voter := range reply.Voters {
		if voter.Address == address {
			return voter.Role
		}
	}
	return ""
}

// primary returns the name of the primary.
func (s *system) primary() string {
	s.t.Helper()
	var name string
	s.eventually("status names a primary", func() error {
		reply, err := s.status()
		if err == nil {
			name = reply.Views[0].Primary
		}
		return err
	})
	return name
}

// leader returns the process of the control leader.
func (s *system) leader() *process {
	s.t.Helper()
	var p *process
	s.eventually("status names a leader", func() error {
		reply, err := s.status()
		if err != nil {
			return err
		}
		for i, address := range s.controlAddresses {
			if address == reply.Leader {
				p = s.controlVMs[i]
				return nil
			}
		}
		return fmt.Errorf("unknown leader %s", reply.Leader)
	})
	return p
}

// underLoad runs a load on both entry VMs, injects a fault after a quarter of the duration, and requires that
// the audit passes. Writes carry request ids and are resent after an unknown outcome.
func (s *system) underLoad(seed uint64, duration time.Duration, fault func()) *load.Report {
	s.t.Helper()
	w := &load.Workload{Name: "process", Duration: duration, Seed: seed, MaxRequests: 20000, Deadline: 10 * time.Second, RoamInterval: time.Second, TokenShare: 0.5, RequestIDs: true}
	for _, a := range accounts {
		w.Accounts = append(w.Accounts, load.Account{
			Name: a, User: a + "/main", Password: a + "-key", Routes: []string{"main"}, Rate: 120, Burst: 240, SendFactor: 0.8, WriteShare: 0.4,
			MaxAges: []time.Duration{0, 2 * time.Second}, Sessions: 4,
		})
	}
	type result struct {
		report *load.Report
		err    error
	}
	done := make(chan result, 1)
	go func() {
		r, err := load.Run(s.t.Context(), w, s.entryAddresses)
		done <- result{r, err}
	}()
	time.Sleep(duration / 4)
	fault()
	got := <-done
	require.NoError(s.t, got.err)
	var b strings.Builder
	got.report.Write(&b)
	s.t.Log(b.String())
	require.True(s.t, got.report.Passed, "seed %d: %s", seed, b.String())
	require.Positive(s.t, got.report.Audit.Acknowledged)
	return got.report
}
