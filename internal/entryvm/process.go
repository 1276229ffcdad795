package entryvm

import (
	"context"
	"crypto/tls"
	"os"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/backend"
	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/console"
	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/session"
	"fireflyrudder.example/fireflyrudder/internal/settings"
)

// Configure returns the options for validated settings.
func Configure(node settings.Node, entry *settings.Entry, files settings.TLS) (Options, error) {
	o := Options{Node: node, Entry: entry}
	password, err := entry.Server.ReadPassword()
	if err != nil {
		return o, err
	}
	o.Credentials = backend.Credentials{User: entry.Server.User, Password: password}
	if o.Signer, err = signer(entry.Token); err != nil {
		return o, err
	}
	var pair *certificate.Reloader
	if files.Enabled() {
		if pair, err = certificate.Load(files); err != nil {
			return o, err
		}
		o.TLS = callerTLS(pair)
	}
	o.Dial = controlvm.Dialer(pair)
	return o, nil
}

// signer reads the secret that signs session tokens. Without a file it returns nil, and tokens are neither issued nor
// accepted.
func signer(file string) (*session.Signer, error) {
	if file == "" {
		return nil, nil
	}
	secret, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "entryvm: token-file"), "name a file that this process can read")
	}
	return session.NewSigner(secret)
}

// callerTLS returns the TLS configuration for caller connections. Callers authenticate with their key, so no client
// certificate is requested.
func callerTLS(pair *certificate.Reloader) *tls.Config {
	c := pair.ServerConfig()
	inner := c.GetConfigForClient
	c.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		one, err := inner(hello)
		if err != nil {
			return nil, err
		}
		one.ClientAuth = tls.NoClientCert
		one.ClientCAs = nil
		one.NextProtos = []string{"postgresql"}
		return one, nil
	}
	return c
}

// Serve runs a VM with its console until ctx is done.
func Serve(ctx context.Context, o Options, c settings.Console) error {
	vm, err := New(o)
	if err != nil {
		return err
	}
	if c.Listen != "" {
		server, err := console.Listen(c.Listen, console.Process{
			Name:  "entry",
			Vars:  vm.Vars(),
			Dump:  func(ctx context.Context) (any, error) { return vm.Dump(ctx) },
			Ready: vm.Ready,
		})
		if err != nil {
			return err
		}
		// The console serves until the end of the drain, so that /ready fails for the load balancer meanwhile.
		serving, stop := context.WithCancel(context.Background())
		defer stop()
		go func() {
			if err := server.Serve(serving); err != nil {
				log.WithError(err).Error("console")
			}
		}()
	}
	return vm.Run(ctx)
}
