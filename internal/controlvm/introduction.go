package controlvm

import (
	"context"
	"slices"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/clock"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// introductionTick is the time between two attempts to reach an address that does not know the leader.
	introductionTick = 100 * time.Millisecond
	// introductionInterval is the time between two introductions to one address. It may have restarted in between.
	introductionInterval = time.Second
)

// introduction makes a leader known to the configured addresses that are no members of its group. They may be control
// VMs without a disk: after an exchange of the seeds and a loss of power, entry VMs and spares may know only such ones,
// and these know only each other.
type introduction struct {
	vm   *VM
	told map[string]time.Time // by address
}

// newIntroduction returns an introduction of a control VM.
func newIntroduction(vm *VM) *introduction {
	return &introduction{vm: vm, told: map[string]time.Time{}}
}

// run introduces the control VM while it leads, until the context ends.
func (i *introduction) run(ctx context.Context) error {
	ticker := time.NewTicker(introductionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			i.introduce(ctx, clock.Now())
		}
	}
}

// introduce calls the addresses to which an introduction is due.
func (i *introduction) introduce(ctx context.Context, now time.Time) {
	request := i.request(ctx)
	if request == nil {
		clear(i.told)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, introductionTick)
	defer cancel()
	type outcome struct {
		address string
		err     error
	}
	due := i.due(now, request.GetControls())
	outcomes := make(chan outcome, len(due))
	for _, address := range due {
		go func() { outcomes <- outcome{address, i.call(ctx, address, request)} }()
	}
	for range due {
		if o := <-outcomes; o.err == nil {
			i.told[o.address] = now
		}
	}
}

// request returns the introduction, or nil if this control VM does not lead.
func (i *introduction) request(ctx context.Context) *wire.LocateRequest {
	var r *wire.LocateRequest
	_ = i.vm.inbox.Do(ctx, func(time.Time) { // fails only after the process has ended
		if i.vm.leadership == nil {
			return
		}
		r = &wire.LocateRequest{Leader: i.vm.options.Control.Listen}
		for _, m := range i.vm.voter.Membership().GetMembers() {
			r.Controls = append(r.Controls, m.Address)
		}
	})
	return r
}

// due returns the configured addresses that are no members and have not been told for a while.
func (i *introduction) due(now time.Time, members []string) []string {
	return slices.DeleteFunc(slices.Clone(i.vm.options.Seeds()), func(address string) bool {
		return slices.Contains(members, address) || now.Sub(i.told[address]) < introductionInterval
	})
}

// call introduces the leader to one address.
func (i *introduction) call(ctx context.Context, address string, r *wire.LocateRequest) error {
	client, err := i.vm.peers.client(address)
	if err != nil {
		return err
	}
	_, err = client.Locate(ctx, r)
	return err
}
