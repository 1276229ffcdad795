// Package local runs a whole site in one process for a first try: three control VMs, two entry VMs
// and a database group of three stand-in backend servers.
package local

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"fireflyrudder.example/fireflyrudder/internal/caller"
	"fireflyrudder.example/fireflyrudder/internal/configuration"
	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/entryvm"
	"fireflyrudder.example/fireflyrudder/internal/settings"
	"fireflyrudder.example/fireflyrudder/internal/standin"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Sizes of the site: the smallest that survives the loss of any one member.
const (
	controls  = 3
	servers   = 3
	slots     = 3
	sockets   = 24 // connections per stand-in
	openTime  = 12 * time.Millisecond
	service   = 2 * time.Millisecond
	lag       = 5 * time.Millisecond
	drain     = 5 * time.Second
	wait      = 10 * time.Second
	keyRounds = 4096 // iterations of the key's verifier, as PostgreSQL uses
)

// Names in the configuration of the site.
const (
	groupName   = "enrollment"
	routeName   = "enrollment"
	accountName = "studio"
	rate        = 400 // statements per second
	burst       = 200 // statements
)

// Options say where a site listens and keeps its files.
type Options struct {
	Entries []string // IP:port of the PostgreSQL listener of each entry VM
	Console string   // IP:port of the HTTP console of the first entry VM; empty switches it off
	Data    string   // folder for the control VMs; a temporary one, removed at the end, if empty
}

// Site is a running site. Its methods are safe for concurrent use after Start.
type Site struct {
	Key string // key of the client account, made at start

	options   Options
	ctx       context.Context // of the control VMs and stand-ins, which outlive the entry VMs
	callers   context.Context // of the entry VMs
	group     *errgroup.Group
	draining  sync.WaitGroup // entry VMs that run
	cleanup   []func()
	instances []*standin.Server
	entries   []*entryvm.VM
	peers     []string
	announce  []string
}

// Start starts every member and returns when the entry VMs serve. When ctx ends the entry VMs drain,
// then the other members stop; Wait returns then.
func Start(ctx context.Context, options Options) (*Site, error) {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, inner := errgroup.WithContext(inner)
	s := &Site{Key: rand.Text(), options: options, ctx: inner, callers: ctx, group: group}
	s.cleanup = append(s.cleanup, stop)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
		}
		s.draining.Wait()
		stop()
		return nil
	})
	steps := []func() error{s.folder, s.startControls, s.startServers, s.configure, s.startEntries, s.serve}
	for _, step := range steps {
		if err := step(); err != nil {
			stop()
			return nil, errors.Wrap(err, "local")
		}
	}
	return s, nil
}

// Wait returns when every member has stopped.
func (s *Site) Wait() error {
	err := s.group.Wait()
	for _, server := range s.instances {
		server.Wait()
	}
	for _, clean := range s.cleanup {
		clean()
	}
	return err
}

// Addresses returns where callers connect, one address for each entry VM.
func (s *Site) Addresses() []string {
	addresses := make([]string, len(s.entries))
	for i, vm := range s.entries {
		addresses[i] = vm.Address()
	}
	return addresses
}

// URL returns the connection string for the entry VM of the given index.
func (s *Site) URL(entry int) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", accountName, s.Key, s.Addresses()[entry], routeName)
}

// folder makes the data folder.
func (s *Site) folder() error {
	if s.options.Data != "" {
		return os.MkdirAll(s.options.Data, 0o700)
	}
	folder, err := os.MkdirTemp("", "fireflyrudder-local-")
	if err != nil {
		return err
	}
	s.options.Data = folder
	s.cleanup = append(s.cleanup, func() { _ = os.RemoveAll(folder) })
	return nil
}

// startControls starts the control VMs on free ports.
func (s *Site) startControls() error {
	var grpc, http []net.Listener
	for range controls {
		for _, list := range []*[]net.Listener{&grpc, &http} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			*list = append(*list, l)
		}
	}
	for i := range controls {
		s.peers = append(s.peers, grpc[i].Addr().String())
		s.announce = append(s.announce, http[i].Addr().String())
	}
	for i := range controls {
		vm, err := controlvm.New(controlvm.Options{
			Node: node("control", i),
			Control: settings.Control{
				Data: filepath.Join(s.options.Data, fmt.Sprint("control-", i)), Listen: s.peers[i],
				Announce: s.announce[i], Peers: s.peers, Server: settings.ServerCredentials{User: "fireflyrudder"},
			},
			Listener: grpc[i],
			Announce: http[i],
		})
		if err != nil {
			return err
		}
		s.group.Go(func() error { return vm.Run(s.ctx) })
	}
	return nil
}

// startServers starts the stand-ins of the database group.
func (s *Site) startServers() error {
	for i := range servers {
		server, err := standin.Start(s.ctx, standin.Config{
			Server: fmt.Sprint(groupName, "-", i+1), Group: groupName, Zone: node("", i).Zone, Listen: "127.0.0.1:0",
			Announce: s.announce, Slots: slots, Connections: sockets,
			Open: openTime, Service: service, Lag: lag, User: "fireflyrudder",
		})
		if err != nil {
			return err
		}
		s.instances = append(s.instances, server)
	}
	return nil
}

// configure applies the configuration of the site. A data folder that holds it already gets the
// new key only.
func (s *Site) configure() error {
	verifier, err := caller.NewVerifier(s.Key, rand.Text(), keyRounds)
	if err != nil {
		return err
	}
	wanted := &wire.Configuration{
		Groups: []*wire.Group{{Name: groupName, Members: servers, Slots: slots, Connections: sockets}},
		Accounts: []*wire.Account{{Name: accountName, Rate: rate, Burst: burst, Weight: 1,
			Keys: []*wire.Key{{Name: "main", Verifier: verifier}}}},
		Routes: []*wire.Route{{Name: routeName, Group: groupName, Database: routeName, Accounts: []string{accountName}}},
	}
	client := controlvm.NewClient(s.peers, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	status, err := client.Status(ctx)
	for err == nil && status.GetConfiguration() == nil {
		time.Sleep(50 * time.Millisecond)
		status, err = client.Status(ctx)
	}
	if err != nil {
		return err
	}
	decision, err := client.Apply(ctx, &wire.Change{
		Id: rand.Text(), Base: status.GetConfiguration().GetVersion(), Operator: "local", Edits: configuration.Edits(wanted),
	})
	if err != nil {
		return err
	}
	if decision.GetVerdict() != wire.Verdict_VERDICT_ACCEPTED {
		return errors.WithHint(errors.New("the configuration was refused"), decision.GetRemedy())
	}
	return nil
}

// startEntries starts the entry VMs, which sign session tokens with one secret.
func (s *Site) startEntries() error {
	secret := filepath.Join(s.options.Data, "token")
	if err := os.WriteFile(secret, []byte(rand.Text()+rand.Text()), 0o600); err != nil {
		return err
	}
	for i, address := range s.options.Entries {
		entry := &settings.Entry{
			Listen: address, Controls: s.peers, Token: secret, Drain: drain, Wait: wait,
			Server: settings.ServerCredentials{User: "fireflyrudder"},
		}
		o, err := entryvm.Configure(node("entry", i), entry, settings.TLS{})
		if err != nil {
			return err
		}
		if o.Listener, err = net.Listen("tcp", address); err != nil {
			return errors.WithHint(err, "choose a free address with --listen")
		}
		vm, err := entryvm.New(o)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, vm)
		s.draining.Add(1)
		s.group.Go(func() error {
			defer s.draining.Done()
			return vm.Run(s.callers)
		})
	}
	return nil
}

// serve waits until every entry VM is ready and the group has a primary.
func (s *Site) serve() error {
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	for _, vm := range s.entries {
		for vm.Ready(ctx) != nil || s.Primary() == nil {
			select {
			case <-ctx.Done():
				return errors.WithHint(errors.New("the site did not become ready"), "see the log lines above; try again with --log-level debug")
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Primary returns the stand-in that is primary, or nil while there is none.
func (s *Site) Primary() *standin.Server {
	var primary *standin.Server
	var term uint64
	for _, server := range s.instances {
		status := server.Status()
		if status.Role == standin.RolePrimary && uint64(status.Term) >= term {
			primary, term = server, uint64(status.Term)
		}
	}
	return primary
}

// node returns the settings of the VM of an index; members are spread over availability zones.
func node(kind string, index int) settings.Node {
	return settings.Node{Name: fmt.Sprint(kind, "-", index+1), Zone: "zone-" + string(rune('a'+index))}
}
