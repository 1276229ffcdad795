package controlvm

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/disk"
)

// roomInterval is the time between two attempts to write to a disk that was full.
const roomInterval = 250 * time.Millisecond

// Serve creates a control VM and runs it until the context ends. A full disk ends the VM, but not the process: nothing listens
// while there is no room, so that callers turn to another control VM at once, and then a new VM continues from what is stored.
// Any other error is returned.
func Serve(ctx context.Context, options Options, run func(context.Context, *VM) error) error {
	for {
		vm, err := New(options)
		if err == nil {
			err = run(ctx, vm)
		}
		if !disk.IsFull(err) {
			return err
		}
		log.WithError(err).WithFields(log.Fields{"event": "dependency", "dependency": "disk", "reached": false}).Warn("the disk of the data folder is full")
		intact := vm != nil && vm.folder.Intact()
		if err := awaitRoom(ctx, options.Control.Data, intact); err != nil || ctx.Err() != nil {
			return err
		}
		log.WithFields(log.Fields{"event": "dependency", "dependency": "disk", "reached": true}).Warn("the disk of the data folder has room")
	}
}

// awaitRoom waits until a data folder has room, or the context ends. If it is unknown what of the folder is durable, its
// write-ahead file is written anew, which takes as much room again.
func awaitRoom(ctx context.Context, path string, intact bool) error {
	attempt := disk.Rewrite
	if intact {
		attempt = disk.Probe
	}
	ticker := time.NewTicker(roomInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := attempt(path); !disk.IsFull(err) {
			return errors.Wrap(err, "controlvm")
		}
	}
}
