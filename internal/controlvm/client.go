package controlvm

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Limits of a call by an operator.
const (
	attemptTimeout = time.Second // above the longest election observed; a frozen control VM costs one attempt
	retryPause     = 100 * time.Millisecond
)

// Client calls the control group on behalf of an operator. It is not safe for concurrent use.
type Client struct {
	controls  []string
	peers     *peers
	preferred string // address of the last known leader
}

// NewClient returns a client of the control VMs at the given addresses. A nil pair means no TLS.
func NewClient(controls []string, pair *certificate.Reloader) *Client {
	return &Client{controls: controls, peers: newPeers(pair)}
}

// Close closes the connections.
func (c *Client) Close() {
	c.peers.close()
}

// Status returns the status of the leader. If no leader answers before the context ends, it returns the
// last status received from any control VM, which has no configuration. If there is none either, it
// returns an error.
func (c *Client) Status(ctx context.Context) (*wire.StatusReply, error) {
	var last *wire.StatusReply
	err := c.callUntilDone(ctx, func(ctx context.Context, client wire.ControlClient) (bool, error) {
		reply, err := client.Status(ctx, &wire.StatusRequest{})
		if err != nil {
			return false, err
		}
		last = reply
		c.preferred = reply.Leader
		return reply.Configuration != nil, nil
	})
	if last != nil {
		return last, nil
	}
	return nil, err
}

// Apply sends a change until it receives the decision. Every attempt uses the same id, so the change is
// decided once.
func (c *Client) Apply(ctx context.Context, change *wire.Change) (*wire.Decision, error) {
	var decision *wire.Decision
	err := c.callUntilDone(ctx, func(ctx context.Context, client wire.ControlClient) (bool, error) {
		reply, err := client.Apply(ctx, &wire.ApplyRequest{Change: change})
		switch status.Code(err) {
		case codes.OK:
			decision = reply.Decision
			return true, nil
		case codes.FailedPrecondition:
			c.preferLeader(ctx, client)
		case codes.InvalidArgument:
			return true, err
		}
		return false, err
	})
	if status.Code(err) == codes.InvalidArgument {
		return nil, err
	}
	if err != nil {
		hint := "send the change again with the same id: --id " + change.Id
		return nil, errors.WithHint(errors.Wrap(err, "controlvm: the outcome of the change is not known"), hint)
	}
	return decision, nil
}

// Evacuate sends an order for an availability zone until it is committed, and returns the evacuated zones. Every attempt
// uses the same id.
func (c *Client) Evacuate(ctx context.Context, zone string, withdrawn bool) ([]string, error) {
	order := &wire.Evacuation{Zone: zone, Withdrawn: withdrawn, Id: rand.Text()}
	var zones []string
	err := c.callUntilDone(ctx, func(ctx context.Context, client wire.ControlClient) (bool, error) {
		reply, err := client.Evacuate(ctx, &wire.EvacuateRequest{Evacuation: order})
		if status.Code(err) == codes.FailedPrecondition {
			c.preferLeader(ctx, client)
		}
		zones = reply.GetEvacuated()
		return err == nil || status.Code(err) == codes.InvalidArgument, err
	})
	if err != nil {
		return nil, errors.WithHint(errors.Wrapf(err, "controlvm: order for availability zone %q", zone), "give the same command again, it may be repeated")
	}
	return zones, nil
}

// preferLeader makes the leader that a control VM names the next one to be called.
func (c *Client) preferLeader(ctx context.Context, client wire.ControlClient) {
	c.preferred = ""
	if s, err := client.Status(ctx, &wire.StatusRequest{}); err == nil {
		c.preferred = s.Leader
	}
}

// callUntilDone makes a call to the leader and then to the other control VMs in turn until one call
// reports that it is done. It skips the control VM whose call has just failed.
func (c *Client) callUntilDone(ctx context.Context, call func(context.Context, wire.ControlClient) (bool, error)) error {
	var last error
	var failed string
	for turn := 0; ctx.Err() == nil; turn++ {
		address := c.controls[turn%len(c.controls)]
		if c.preferred != "" {
			address, c.preferred = c.preferred, ""
		} else if address == failed && len(c.controls) > 1 {
			failed = ""
			continue
		}
		done, err := c.attempt(ctx, address, call)
		if done {
			return err
		}
		failed = ""
		if err != nil {
			last, failed = err, address
		}
		if c.preferred != "" && c.preferred != address {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return errors.CombineErrors(last, ctx.Err())
}

func (c *Client) attempt(ctx context.Context, address string, call func(context.Context, wire.ControlClient) (bool, error)) (bool, error) {
	client, err := c.peers.client(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, client)
}

// Switch requests a planned switchover from the leader and waits for the outcome. It does not repeat the
// request once a leader has accepted it.
func (c *Client) Switch(ctx context.Context, group, to string) (*wire.SwitchReply, error) {
	if _, err := c.Status(ctx); err != nil {
		return nil, err
	}
	var reply *wire.SwitchReply
	err := c.callUntilDone(ctx, func(_ context.Context, client wire.ControlClient) (bool, error) {
		var err error
		reply, err = client.Switch(ctx, &wire.SwitchRequest{Group: group, To: to})
		return status.Code(err) != codes.FailedPrecondition, err
	})
	return reply, err
}
