package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of each machine, as in the example of DEPLOY.md.
const (
	frontendPort  = 8465
	readinessPort = 8460
	controlPort   = 8462
)

// machine is one machine of the site. It runs the two roles of the deploy file.
type machine struct {
	site      *site
	name, ip  string
	zone      string
	control   bool
	disk      bool
	bootstrap bool
	processes map[string]*exec.Cmd // by role
}

// site is the system: real processes on loopback addresses.
type site struct {
	record   *record
	program  string
	folder   string
	network  string
	machines []*machine
}

// newSite returns a site of machines with a disk, one in each zone, and others without one.
func newSite(r *record, program, folder, network string, disks, others int) *site {
	s := &site{record: r, program: program, folder: folder, network: network}
	for n := range disks + others {
		m := &machine{site: s, ip: fmt.Sprintf("%s.%d", network, n+1), zone: zone(n), control: n < disks, disk: n < disks, bootstrap: true}
		m.name = fmt.Sprintf("frontend-%s-%d", m.zone, n/3+1)
		m.processes = map[string]*exec.Cmd{}
		s.machines = append(s.machines, m)
	}
	return s
}

func zone(n int) string { return "zone-" + string(rune('a'+n%3)) }

// reserveNetwork returns the first three bytes of loopback addresses that nothing listens on.
func reserveNetwork() string {
	for n := os.Getpid(); ; n++ {
		network := fmt.Sprintf("127.%d.%d", 20+n/250%200, 1+n%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, frontendPort))
		if err == nil {
			l.Close()
			return network
		}
	}
}

func (s *site) controls() []string {
	var out []string
	for _, m := range s.machines {
		if m.control {
			out = append(out, fmt.Sprintf("%s:%d", m.ip, controlPort))
		}
	}
	return out
}

// path returns a file of a machine.
func (m *machine) path(name string) string { return filepath.Join(m.site.folder, m.name+"."+name) }

// start writes the settings and starts the processes of a machine.
func (m *machine) start() {
	text := fmt.Sprintf(`node_name=%s
machine_class=frontend
serves=frontend,control_plane
ip=%s
zone=%s
region=west
zones.zone-a=west
zones.zone-b=west
zones.zone-c=west
listen_addrs.frontend=%s:%d
listen_addrs.readiness=%s:%d
internal_port_range=7560,7575
seeds=%s
bootstrap=%t
loss_counts=%t
limits.cpu_share=0.72
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
limits.link_mbps=1000.0
discovery=registration
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,sql,tenants,quota
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_window_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=12000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.quota_window_s=5
bounds.quota_overrun=0.1
bounds.quota_slack=20
bounds.recovery_s=12
bounds.require_fencing=true
bounds.thaw_slack_ms=300
config_mode=highest
cloud_api.address=%s.200:8466
cloud_api.rate_per_s=50.0
cloud_api.duties=promotion
cloud_api.duty_per_s=50.0
`, m.name, m.ip, m.zone, m.ip, frontendPort, m.ip, readinessPort, strings.Join(m.site.controls(), ","), m.bootstrap, m.disk, m.site.network)
	if m.control {
		text += fmt.Sprintf("listen_addrs.control=%s:%d\n", m.ip, controlPort)
	}
	if m.disk {
		text += fmt.Sprintf("limits.disk_mb=64\ndata_dir=%s\n", m.path("data"))
	}
	if err := os.WriteFile(m.path("settings"), []byte(text), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	m.run("entry", "9100")
	if m.control {
		m.run("control", "9101")
	}
}

// run starts one process with the command of the deploy file.
func (m *machine) run(role, metrics string) {
	out, err := os.OpenFile(m.path(role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	defer out.Close()
	c := exec.Command(m.site.program, role, "--metrics", metrics)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIREFLYRUDDER_NODE_FILE=" + m.path("settings")}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fatal("start: %v", err)
	}
	m.processes[role] = c
}

// end kills all processes of the site.
func (s *site) end() {
	for _, m := range s.machines {
		for _, c := range m.processes {
			c.Process.Signal(syscall.SIGCONT) //nolint:errcheck // it has ended
			c.Process.Kill()                  //nolint:errcheck // it has ended
			c.Wait()                          //nolint:errcheck // it was killed
		}
	}
}

// orders counts the orders that the control VMs gave, by instance and outcome, according to their logs.
func (s *site) orders() string {
	counts := map[string]int{}
	for _, m := range s.machines {
		text, err := os.ReadFile(m.path("control.log"))
		if err != nil {
			continue
		}
		for _, found := range orderLine.FindAllSubmatch(text, -1) {
			counts[string(found[2])+" "+string(found[1])]++
		}
	}
	return fmt.Sprint(counts)
}

// orderLine matches the line that a control VM logs for each order to promote, with its outcome and the instance.
var orderLine = regexp.MustCompile(`(?m)event=order .*?outcome="?([a-z0-9 ]+?)"? server=(\S+)`)

// configure sends a configuration to the machines in turn until one acknowledges it.
func (s *site) configure(body string) bool {
	client := &http.Client{Timeout: time.Second}
	for n := range 200 {
		address := s.controls()[n%len(s.controls())]
		q, err := http.NewRequest(http.MethodPut, "http://"+address+"/config", strings.NewReader(body))
		if err != nil {
			fatal("configuration: %v", err)
		}
		q.Header.Set("Content-Type", "application/json")
		a, err := client.Do(q)
		if err == nil {
			text, _ := io.ReadAll(a.Body)
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				s.record.add("operator", "configuration acknowledged by %s", address)
				return true
			}
			s.record.add("operator", "%s answers %d %s", address, a.StatusCode, strings.TrimSpace(string(text)))
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// configuration returns the document of a version: one route of each type to one service.
func configuration(version int, service string, syncReplicas int) string {
	const route = `{"name":"r-%s","host":"%s","path_prefix":"/","type":"%s","timeout_ms":1000,"target_latency_ms":250,"priority":1,"service":"%s","max_attempts":2%s,"public":false}`
	routes := fmt.Sprintf(route, "1", "enroll", "primary", service, "") + "," +
		fmt.Sprintf(route, "2", "studio", "read_your_writes", service, `,"max_staleness_ms":2500`)
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"%s","health_path":"/health","max_conns":%d,"protocol":"h1","tls":false,"sync_replicas":%d}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tx_idle_ms":3000},`+
		`"tenants":[{"name":"tide","api_keys":["secret1"],"priority":1,"rate_per_s":200,"burst":200}]}`, version, routes, service, maxConns, syncReplicas)
}
