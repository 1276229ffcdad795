// Package settings defines and validates the settings of every process. Command-line flags take precedence over
// environment variables, environment variables over the INI file, and the file over the defaults.
//
// go-flags also matches a key of the INI file against the name of the field, so renaming a field changes which
// files are accepted.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Node identifies the VM on which a process runs.
type Node struct {
	Name string `long:"name" env:"FIREFLYRUDDER_NODE_NAME" description:"name of this VM" default:"local"`
	Zone string `long:"zone" env:"FIREFLYRUDDER_NODE_ZONE" description:"availability zone of this VM" default:"zone-a"`
}

// Check returns an error with a remedy if a setting is missing.
func (n *Node) Check() error {
	if n.Name == "" {
		return missingSetting("node", "name", "the name of this VM")
	}
	if n.Zone == "" {
		return missingSetting("node", "zone", "the availability zone of this VM")
	}
	return nil
}

// Log selects the format and the minimum level of log lines.
type Log struct {
	Format string `long:"log-format" ini-name:"format" env:"FIREFLYRUDDER_LOG_FORMAT" choice:"text" choice:"json" choice:"logfmt" default:"logfmt" description:"form of log lines"`
	Level  string `long:"log-level" ini-name:"level" env:"FIREFLYRUDDER_LOG_LEVEL" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"least level logged"`
}

// Console is the HTTP listener for metrics, state dumps and readiness.
type Console struct {
	Listen string `long:"console" ini-name:"listen" env:"FIREFLYRUDDER_CONSOLE_LISTEN" description:"IP:port of the HTTP console; empty switches it off"`
}

// Check returns an error with a remedy if the address is malformed.
func (c *Console) Check() error {
	if c.Listen == "" {
		return nil
	}
	return checkAddress("console", "console", c.Listen)
}

// TLS names the certificate files. They are reloaded when they change.
type TLS struct {
	Certificate string `long:"tls-certificate" ini-name:"certificate" env:"FIREFLYRUDDER_TLS_CERTIFICATE" description:"PEM file with the certificate of this process"`
	Key         string `long:"tls-key" ini-name:"key" env:"FIREFLYRUDDER_TLS_KEY" description:"PEM file with the private key"`
	Authority   string `long:"tls-authority" ini-name:"authority" env:"FIREFLYRUDDER_TLS_AUTHORITY" description:"PEM file with the authority that signed the certificates of the other processes"`
}

// Enabled reports whether TLS is configured.
func (t *TLS) Enabled() bool {
	return t.Certificate != ""
}

// Check returns an error with a remedy if a file is missing from the settings or not accessible.
func (t *TLS) Check() error {
	if t.Certificate == "" && t.Key == "" && t.Authority == "" {
		return nil
	}
	if t.Certificate == "" || t.Key == "" {
		return missingSetting("tls", "tls-certificate and tls-key", "both files, or neither")
	}
	for _, file := range []string{t.Certificate, t.Key, t.Authority} {
		if file == "" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			return errors.WithHint(errors.Wrap(err, "settings: [tls]"), "name a PEM file that this process can read")
		}
	}
	return nil
}

// Control contains the settings of a control VM.
type Control struct {
	Data     string            `long:"data" env:"FIREFLYRUDDER_CONTROL_DATA" description:"data folder; must be on a disk"`
	Listen   string            `long:"listen" env:"FIREFLYRUDDER_CONTROL_LISTEN" default:"127.0.0.1:7400" description:"IP:port of the gRPC listener"`
	Announce string            `long:"announce" env:"FIREFLYRUDDER_CONTROL_ANNOUNCE" default:"127.0.0.1:7401" description:"IP:port of the HTTP listener for announcements of backend servers"`
	Peers    []string          `long:"peer" env:"FIREFLYRUDDER_CONTROL_PEERS" env-delim:"," description:"IP:port of the gRPC listener of each control VM, this one included; repeat"`
	Join     bool              `long:"join" env:"FIREFLYRUDDER_CONTROL_JOIN" description:"start as a spare that joins the running group as a learner"`
	Voters   int               `long:"voters" env:"FIREFLYRUDDER_CONTROL_VOTERS" description:"number of voters that the control group grows to with control VMs that join: 2f+1 bear f lost disks; 0 means the peers"`
	Server   ServerCredentials `group:"server" namespace:"server"`
}

// Check returns an error with a remedy if a setting is missing or malformed.
func (c *Control) Check() error {
	if c.Data == "" {
		return missingSetting("control", "data", "a folder on a disk of this VM")
	}
	for _, a := range append([]string{c.Listen, c.Announce}, c.Peers...) {
		if err := checkAddress("control", "listen, announce or peer", a); err != nil {
			return err
		}
	}
	if len(c.Peers) > 0 && !slices.Contains(c.Peers, c.Listen) {
		return errors.WithHint(errors.New("settings: [control] peer does not name this control VM's listen address"),
			"name the same addresses as peer on every control VM, "+c.Listen+" included")
	}
	if c.Voters != 0 && (c.Voters < 0 || c.Voters%2 == 0) {
		return errors.WithHint(errors.Newf("settings: [control] voters is %d", c.Voters), "give an odd number, such as 3 or 5")
	}
	return c.Server.Check()
}

// ServerCredentials are the credentials with which the system itself logs in to backend servers.
type ServerCredentials struct {
	User     string `long:"user" env:"FIREFLYRUDDER_SERVER_USER" default:"fireflyrudder" description:"user of the system at backend servers"`
	Password string `long:"password-file" env:"FIREFLYRUDDER_SERVER_PASSWORD_FILE" description:"file with the password of that user"`
}

// Check returns an error with a remedy if the password file cannot be read.
func (s *ServerCredentials) Check() error {
	_, err := s.ReadPassword()
	return err
}

// ReadPassword returns the password from the file, without trailing line breaks. The password is empty if no
// file is configured.
func (s *ServerCredentials) ReadPassword() (string, error) {
	if s.Password == "" {
		return "", nil
	}
	text, err := os.ReadFile(s.Password)
	if err != nil {
		return "", errors.WithHint(errors.Wrap(err, "settings: server password-file"), "name a file that this process can read")
	}
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	return string(text), nil
}

// Entry contains the settings of an entry VM.
type Entry struct {
	Listen   string            `long:"listen" env:"FIREFLYRUDDER_ENTRY_LISTEN" default:"127.0.0.1:7432" description:"IP:port of the PostgreSQL listener for callers"`
	Controls []string          `long:"control" env:"FIREFLYRUDDER_ENTRY_CONTROLS" env-delim:"," default:"127.0.0.1:7400" description:"IP:port of the gRPC listener of a control VM; repeat"`
	Groups   []string          `long:"serve" env:"FIREFLYRUDDER_ENTRY_GROUPS" env-delim:"," description:"database group served by this entry VM; repeat; none means all"`
	Token    string            `long:"token-file" ini-name:"token" env:"FIREFLYRUDDER_ENTRY_TOKEN_FILE" description:"file with the secret that signs session tokens, the same on all entry VMs"`
	Drain    time.Duration     `long:"drain" env:"FIREFLYRUDDER_ENTRY_DRAIN" default:"30s" description:"longest time that a graceful shutdown waits for open transactions"`
	Wait     time.Duration     `long:"wait" env:"FIREFLYRUDDER_ENTRY_WAIT" default:"10s" description:"default deadline of a statement that waits for a slot, a credit or a primary"`
	Urgency  bool              `long:"urgency" env:"FIREFLYRUDDER_ENTRY_URGENCY" description:"order statements that wait for a slot by the priority of their routes"`
	Server   ServerCredentials `group:"server" namespace:"server"`
}

// Check returns an error with a remedy if a setting is missing or malformed.
func (e *Entry) Check() error {
	if err := checkAddress("entry", "listen", e.Listen); err != nil {
		return err
	}
	if len(e.Controls) == 0 {
		return missingSetting("entry", "control", "the address of at least one control VM")
	}
	for _, a := range e.Controls {
		if err := checkAddress("entry", "control", a); err != nil {
			return err
		}
	}
	if e.Drain <= 0 || e.Wait <= 0 {
		return errors.WithHint(errors.New("settings: [entry] drain and wait must be positive"), "give a duration such as 30s")
	}
	return e.Server.Check()
}

// Standin contains the settings of a stand-in backend server.
type Standin struct {
	Server      string        `long:"server-name" default:"a" description:"name of the instance"`
	Group       string        `long:"group" default:"main" description:"database group"`
	Listen      string        `long:"listen" default:"127.0.0.1:7501" description:"IP:port of the PostgreSQL listener"`
	Announce    []string      `long:"announce" description:"IP:port of the announcement listener of a control VM; repeat"`
	Slots       int           `long:"slots" default:"3" description:"concurrent statements"`
	Connections int           `long:"connections" default:"24" description:"connections accepted"`
	Open        time.Duration `long:"open" default:"12ms" description:"time to open a connection"`
	Lag         time.Duration `long:"lag" default:"0s" description:"replication delay"`
	Service     time.Duration `long:"service" default:"0s" description:"time that a statement occupies a slot"`
	User        string        `long:"user" default:"fireflyrudder" description:"user that may log in"`
	Password    string        `long:"password-file" description:"file with the password of that user"`
}

// Check returns an error with a remedy if a setting is malformed.
func (s *Standin) Check() error {
	if s.Slots < 1 || s.Connections < 1 {
		return errors.WithHint(errors.New("settings: [standin] slots and connections must be at least 1"), "give a positive number")
	}
	for _, a := range append([]string{s.Listen}, s.Announce...) {
		if err := checkAddress("standin", "listen or announce", a); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress returns an error unless text is IP:port. Host names are refused because the platform does not
// provide name resolution.
func checkAddress(section, key, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.WithHint(errors.Wrapf(err, "settings: [%s] %s", section, key), "give an IP address and a port, such as 10.0.0.5:7400")
	}
	return nil
}

func missingSetting(section, key, remedy string) error {
	return errors.WithHint(errors.Newf("settings: [%s] %s is missing", section, key), "give "+remedy)
}
