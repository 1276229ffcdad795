package controlvm

import (
	"context"

	"fireflyrudder.example/fireflyrudder/internal/failover"
)

// BackendClient calls the instances of all database groups. It is safe for concurrent use.
type BackendClient interface {
	// Call makes a call of the failover policy and returns what the instance says of itself.
	Call(ctx context.Context, c failover.Call) (failover.Report, error)
	// Terminate ends the connections of a dead entry VM at the instance, or returns once the
	// instance has dropped them by itself.
	Terminate(ctx context.Context, address, entry string) error
	// Close ends all connections.
	Close()
}
