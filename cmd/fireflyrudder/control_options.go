package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/controlvm"
)

// controlOptions holds the options of commands that send requests to the control group.
type controlOptions struct {
	Controls []string      `long:"control" env:"FIREFLYRUDDER_CONTROLS" env-delim:"," default:"127.0.0.1:7400" description:"IP:port of the gRPC listener of a control VM; repeat"`
	Wait     time.Duration `long:"timeout" default:"10s" description:"longest time to wait for an answer"`
}

// Check returns an error that names the remedy if a setting is malformed.
func (o *controlOptions) Check() error {
	for _, a := range o.Controls {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.WithHint(errors.Wrap(err, "settings: control"), "give an IP address and a port, such as 10.0.0.5:7400")
		}
	}
	if len(o.Controls) == 0 || o.Wait <= 0 {
		return errors.WithHint(errors.New("settings: control or timeout is missing"), "give the address of a control VM and a timeout such as 10s")
	}
	return nil
}

// withClient runs call with a client of the control group and a context that ends at the timeout.
func (o *controlOptions) withClient(ctx context.Context, g *globals, call func(context.Context, *controlvm.Client) error) error {
	var reloader *certificate.Reloader
	if g.tls.Enabled() {
		var err error
		if reloader, err = certificate.Load(g.tls); err != nil {
			return err
		}
	}
	client := controlvm.NewClient(o.Controls, reloader)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	return call(ctx, client)
}
