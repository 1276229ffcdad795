package controlvm

import (
	"context"

	"fireflyrudder.example/fireflyrudder/internal/failover"
)

// BackendClient calls the backend servers of all database groups. It is safe for concurrent use.
type BackendClient interface {
	// Call makes a call requested by the failover policy and returns the state that the backend server reports.
	Call(ctx context.Context, c failover.Call) (failover.Report, error)
	// Terminate closes the connections of a dead entry VM at the backend server, or returns once the
	// backend server has closed them by itself.
	Terminate(ctx context.Context, address, entry string) error
	// Close closes all connections.
	Close()
}
