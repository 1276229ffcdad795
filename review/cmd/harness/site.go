package main

import (
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

// errCannotRun marks a failure of the case itself, which says nothing about the rule.
var errCannotRun = errors.New("the case could not run")

// machine is one machine of the site. All machines use the same ports, each at an address of its own.
type machine struct {
	name, zone, ip string
	disk           bool
	entry, control *process
}

// process is a program that the case started.
type process struct {
	name   string
	cmd    *exec.Cmd
	ended  chan struct{}
	ending bool // it was asked to end
}

// site is a small deployment: three zones with a machine with a disk and one without in each, as the deploy file places its
// roles, and one database service.
type site struct {
	record   *recorder
	folder   string
	runs     map[string][]string // words of the run lines of the deploy file, by role
	machines []*machine
	subnet   string
	ports    struct{ callers, ready, operator, internal, platform int }

	mu      sync.Mutex
	started []*process
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newSite chooses addresses and ports. Every address is in 127.0.0.0/8.
func newSite(r *recorder) (*site, error) {
	runs, err := deployRuns("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, folder: folder, runs: runs}
	s.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	base := 20000 + rand.IntN(8000)
	s.ports.callers, s.ports.ready, s.ports.operator, s.ports.platform, s.ports.internal = base, base+1, base+2, base+3, base+10
	for i, zone := range zones {
		s.machines = append(s.machines,
			&machine{name: "frontend-" + zone + "-1", zone: zone, ip: fmt.Sprintf("%s.%d", s.subnet, 11+i), disk: true},
			&machine{name: "frontend-" + zone + "-2", zone: zone, ip: fmt.Sprintf("%s.%d", s.subnet, 21+i)})
	}
	for _, m := range s.machines {
		for _, port := range []int{s.ports.callers, s.ports.ready, s.ports.operator, s.ports.internal, s.ports.internal + 1, 9100, 9101} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return nil, fmt.Errorf("%w: port in use: %w", errCannotRun, err)
			}
			l.Close()
		}
	}
	return s, nil
}

// deployRuns returns the words of the run lines of a deploy file, by role.
func deployRuns(path string) (map[string][]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	runs, role := map[string][]string{}, ""
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(rest, "]")
		}
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			runs[role] = strings.Fields(strings.Trim(rest, `"`))
		}
	}
	if len(runs["entry"]) == 0 || len(runs["control"]) == 0 {
		return nil, errors.New("the deploy file has no run lines for entry and control")
	}
	return runs, nil
}

// settings returns the settings file of a process, with the fields and bounds of the small sites.
func (s *site) settings(m *machine, role string) string {
	var seeds []string
	for _, o := range s.machines {
		if o.disk {
			seeds = append(seeds, fmt.Sprintf("%s:%d", o.ip, s.ports.operator))
		}
	}
	lines := []string{
		"node_name=" + m.name, "role=" + role, "machine_class=frontend", "serves=frontend,control_plane", "ip=" + m.ip, "zone=" + m.zone,
		"region=here", "zones.zone-a=here", "zones.zone-b=here", "zones.zone-c=here",
		fmt.Sprintf("listen_addrs.frontend=%s:%d", m.ip, s.ports.callers),
		fmt.Sprintf("listen_addrs.readiness=%s:%d", m.ip, s.ports.ready),
		fmt.Sprintf("listen_addrs.control=%s:%d", m.ip, s.ports.operator),
		fmt.Sprintf("internal_port_range=%d,%d", s.ports.internal, s.ports.internal+15),
		"seeds=" + strings.Join(seeds, ","), "bootstrap=true", fmt.Sprintf("loss_counts=%t", m.disk),
		"limits.cpu_share=0.72", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4200", "limits.link_mbps=1000.0", "limits.disk_mb=64",
		"discovery=registration", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,sql,tenants,quota",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.stable_window_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=4",
		"bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250",
		"bounds.max_skew_ms=12000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.quota_window_s=5", "bounds.quota_overrun=0.1",
		"bounds.quota_slack=20", "bounds.recovery_s=12", "bounds.require_fencing=true", "bounds.thaw_slack_ms=300", "config_mode=highest",
		fmt.Sprintf("cloud_api.address=%s.200:%d", s.subnet, s.ports.platform), "cloud_api.rate_per_s=50.0", "cloud_api.duties=promotion", "cloud_api.duty_per_s=50.0",
	}
	if m.disk {
		lines = append(lines, "data_dir="+filepath.Join(s.folder, "data-"+m.name))
	}
	return strings.Join(lines, "\n") + "\n"
}

// startAll starts both programs on every machine.
func (s *site) startAll() error {
	for _, m := range s.machines {
		var err error
		if m.control, err = s.startProgram(m, "control"); err != nil {
			return err
		}
		if m.entry, err = s.startProgram(m, "entry"); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startProgram(m *machine, role string) (*process, error) {
	path := filepath.Join(s.folder, m.name+"-"+role+".conf")
	if err := os.WriteFile(path, []byte(s.settings(m, role)), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(s.folder, m.name+"-"+role+".log"))
	if err != nil {
		return nil, err
	}
	words := s.runs[role]
	p := &process{name: m.name + "/" + role, cmd: exec.Command(words[0], words[1:]...), ended: make(chan struct{})}
	p.cmd.Env = []string{"FIREFLYRUDDER_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		out.Close()
		return nil, fmt.Errorf("%w: %w (build with the command of the deploy file first)", errCannotRun, err)
	}
	s.mu.Lock()
	s.started = append(s.started, p)
	s.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		out.Close()
		s.mu.Lock()
		asked := p.ending
		s.mu.Unlock()
		s.record.add(p.name, "process ended (asked to: %t): %v", asked, err)
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to a process that the case started.
func (s *site) signal(p *process, sig syscall.Signal) {
	s.mu.Lock()
	p.ending = sig == syscall.SIGTERM || sig == syscall.SIGKILL
	s.mu.Unlock()
	s.record.add("case", "signal %v to %s", sig, p.name)
	p.cmd.Process.Signal(sig) //nolint:errcheck // a process that has ended is what the case waits for
}

// stop ends all processes that the case started and removes its folder. REVIEW_KEEP keeps the folder.
func (s *site) stop() {
	s.mu.Lock()
	all := s.started
	for _, p := range all {
		p.ending = true
	}
	s.mu.Unlock()
	for _, p := range all {
		p.cmd.Process.Kill() //nolint:errcheck // it has ended already
	}
	for _, p := range all {
		<-p.ended
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(s.folder) //nolint:errcheck // a temporary folder
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// request sends an HTTP request to a control VM and returns the status, or 0 without an answer.
func (s *site) request(m *machine, method, path, body string, limit time.Duration) int {
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, s.ports.operator, path), strings.NewReader(body))
	if err != nil {
		return 0
	}
	q.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: limit}
	a, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	io.Copy(io.Discard, a.Body) //nolint:errcheck // the status is known
	return a.StatusCode
}

// publish sends a configuration to one control VM after the other until it is acknowledged.
func (s *site) publish(body string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		m := s.machines[rand.IntN(len(s.machines))]
		if status := s.request(m, http.MethodPut, "/config", body, time.Second); status == http.StatusOK {
			s.record.add("operator", "PUT /config at %s: 200", m.name)
			return nil
		}
	}
	return fmt.Errorf("%w: no configuration was acknowledged within 15 s", errCannotRun)
}

// awaitReady waits until every entry VM is ready.
func (s *site) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, m := range s.machines {
		for !s.ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready within 15 s", errCannotRun, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *site) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	a, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, s.ports.ready))
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}
