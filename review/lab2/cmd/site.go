package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	callerPort     = 8465
	readinessPort  = 8460
	operatorPort   = 8462
	internalPort   = 7560
	platformPort   = 8466
	entryMetrics   = "9100" // as in deploy/system.toml
	controlMetrics = "9101"
)

// machineCount is the number of machines. All take callers; the first coreCount also have a disk and serve control.
const (
	machineCount = 10
	coreCount    = 3
)

// site is a small deployment: the programs of the project as processes of their own, and the platform around them.
type site struct {
	record   *record
	program  string
	folder   string
	network  string // first three bytes of all addresses
	machines []*machine
	platform *platform
	client   *http.Client

	mu     sync.Mutex
	groups []*cluster
	needs  map[string]need // by id of the read
	// watched is set while each write that reaches an instance which left too long ago breaks the rule DRAIN.
	watched bool
}

// machine is one machine with its two processes.
type machine struct {
	site      *site
	name      string
	ip        string
	zone      string
	bootstrap bool
	core      bool
	processes map[string]*exec.Cmd // by role
	ended     map[string]chan struct{}
}

// reserveNetwork returns the first three bytes of loopback addresses at which all ports of a site are free.
func reserveNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(256))
		if free(network) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func free(network string) bool {
	for host := 1; host <= machineCount; host++ {
		for _, port := range []int{callerPort, readinessPort, operatorPort, internalPort, internalPort + 1, platformPort, 9100, 9101} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// newSite starts the platform and all machines.
func newSite(r *record, program string) (*site, error) {
	network, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: r, program: program, folder: folder, network: network, needs: map[string]need{},
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if s.platform, err = startPlatform(s, net.JoinHostPort(network+".100", fmt.Sprint(platformPort))); err != nil {
		return nil, err
	}
	for n := range machineCount {
		zone := "zone-" + string(rune('a'+n%coreCount))
		m := &machine{
			core: n < coreCount, site: s, name: fmt.Sprintf("frontend-%s-%d", zone, n/coreCount+1), ip: fmt.Sprintf("%s.%d", network, n+1), zone: zone, bootstrap: true,
			processes: map[string]*exec.Cmd{}, ended: map[string]chan struct{}{},
		}
		s.machines = append(s.machines, m)
	}
	for _, m := range s.machines {
		for _, role := range m.roles() {
			if err := m.start(role); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

// roles returns the roles of a machine.
func (m *machine) roles() []string {
	if m.core {
		return []string{"control", "entry"}
	}
	return []string{"entry"}
}

// end kills what is left and removes the folder.
func (s *site) end() {
	for _, m := range s.machines {
		for role := range m.processes {
			m.signal(role, syscall.SIGCONT)
			m.signal(role, syscall.SIGKILL)
		}
	}
	for _, m := range s.machines {
		for _, ended := range m.ended {
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// seeds returns the control addresses of the machines.
func (s *site) seeds() string {
	var all []string
	for n := range coreCount {
		all = append(all, fmt.Sprintf("%s.%d:%d", s.network, n+1, operatorPort))
	}
	return strings.Join(all, ",")
}

// settings returns the settings file of a role.
func (m *machine) settings(role string) string {
	lines := []string{
		"node_name=" + m.name, "role=" + role, "machine_class=frontend", "serves=frontend,control_plane",
		"ip=" + m.ip, "zone=" + m.zone, "region=region-1",
		"zones.zone-a=region-1", "zones.zone-b=region-1", "zones.zone-c=region-1",
		fmt.Sprintf("listen_addrs.frontend=%s:%d", m.ip, callerPort),
		fmt.Sprintf("listen_addrs.readiness=%s:%d", m.ip, readinessPort),
		fmt.Sprintf("listen_addrs.control=%s:%d", m.ip, operatorPort),
		fmt.Sprintf("internal_port_range=%d,%d", internalPort, internalPort+15),
		"seeds=" + m.site.seeds(), fmt.Sprintf("bootstrap=%t", m.bootstrap), "loss_counts=true",
		"limits.cpu_share=0.72", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4200", "limits.link_mbps=1000.0", "limits.disk_mb=64",
		"data_dir=" + filepath.Join(m.site.folder, m.name, role, "data"),
		"discovery=registration", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,sql,tenants,quota",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.stable_window_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4",
		"bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000",
		"bounds.rollback_slack_ms=250", "bounds.max_skew_ms=12000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000",
		"bounds.quota_window_s=5", "bounds.quota_overrun=0.1", "bounds.quota_slack=20", "bounds.recovery_s=12",
		"bounds.require_fencing=true", "bounds.thaw_slack_ms=300", "config_mode=highest",
		"cloud_api.address=" + m.site.platform.address, "cloud_api.rate_per_s=50.0", "cloud_api.duties=promotion", "cloud_api.duty_per_s=50.0",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a role with the command of deploy/system.toml.
func (m *machine) start(role string) error {
	folder := filepath.Join(m.site.folder, m.name, role)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(folder, "local.conf")
	if err := os.WriteFile(settings, []byte(m.settings(role)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	metrics := entryMetrics
	if role == "control" {
		metrics = controlMetrics
	}
	c := exec.CommandContext(context.Background(), m.site.program, role, "--metrics", metrics)
	c.Env = append(os.Environ(), "FIREFLYRUDDER_NODE_FILE="+settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.processes[role], m.ended[role] = c, ended
	m.site.record.printf("machine %s starts %s as process %d", m.name, role, c.Process.Pid)
	go func() {
		err := c.Wait()
		m.site.record.printf("machine %s: %s ended: %v", m.name, role, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a role.
func (m *machine) signal(role string, sent syscall.Signal) {
	if c := m.processes[role]; c != nil {
		_ = c.Process.Signal(sent) // it may have ended
	}
}

// restart stops the process of a role as the platform does, with SIGTERM and after the grace with SIGKILL, and starts it again.
func (m *machine) restart(role string) error {
	m.site.record.printf("machine %s: SIGTERM to %s", m.name, role)
	m.signal(role, syscall.SIGTERM)
	select {
	case <-m.ended[role]:
	case <-time.After(6 * time.Second):
		m.signal(role, syscall.SIGKILL)
		<-m.ended[role]
	}
	m.bootstrap = false
	return m.start(role)
}

// call makes an HTTP call to a machine's control address, and then to the next one, until one answers with 2xx.
func (s *site) call(first int, method, path string, body []byte) (status int, answer []byte, machine string) {
	for n := range 40 {
		m := s.machines[(first+n)%coreCount]
		status, answer = s.callOne(m, method, path, body)
		if status >= 200 && status < 300 || status == http.StatusBadRequest {
			return status, answer, m.name
		}
		time.Sleep(time.Duration(min(20*(n+1), 300)) * time.Millisecond)
	}
	return status, answer, ""
}

// callOne makes one HTTP call to a machine's control address. The status is 0 without an answer.
func (s *site) callOne(m *machine, method, path string, body []byte) (int, []byte) {
	url := fmt.Sprintf("http://%s:%d%s", m.ip, operatorPort, path)
	q, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// object is a JSON object.
type object map[string]any

// configure sends a configuration until it is acknowledged.
func (s *site) configure(version int, routes, services []object) error {
	body, err := json.Marshal(object{
		"version": version, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
		"tenants": []object{{"name": "tenant1", "api_keys": []string{"key1"}, "priority": 1, "rate_per_s": 500, "burst": 500}},
	})
	if err != nil {
		return err
	}
	s.record.printf("operator sends %s", body)
	status, answer, machine := s.call(version, http.MethodPut, "/config", body)
	s.record.printf("operator gets %d for version %d from %s", status, version, machine)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d: %d %s", version, status, answer)
	}
	return nil
}

// route returns a route of a configuration.
func route(host, kind, service string) object {
	r := object{
		"name": "r-" + host, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": 1000, "target_latency_ms": 400, "priority": 2,
		"service": service, "max_attempts": 2, "public": false,
	}
	if kind != "primary" {
		r["max_staleness_ms"] = 2500
	}
	return r
}

// service returns a service of a configuration.
func service(name string) object { return syncService(name, 0) }

// syncService returns a service whose commits are acknowledged once a number of replicas have received them.
func syncService(name string, replicas int) object {
	return object{"name": name, "health_path": "/health", "max_conns": 23, "protocol": "h1", "tls": false, "sync_replicas": replicas}
}

// leader returns the machine of the control leader according to the logs' last line about one, or nil.
func (s *site) leader() *machine {
	for _, m := range s.machines[:coreCount] {
		text, err := os.ReadFile(filepath.Join(s.folder, m.name, "control", "log"))
		if err != nil {
			continue
		}
		lines := strings.Split(string(text), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			if strings.Contains(lines[i], `message="control leader"`) {
				return m
			}
			if strings.Contains(lines[i], "control leadership lost") || strings.Contains(lines[i], "control leadership handed over") || strings.Contains(lines[i], "event=start") {
				break
			}
		}
	}
	return nil
}
