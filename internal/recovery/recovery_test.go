package recovery_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/recovery"
)

// TestContainEndsAPanic guards against a failure in one goroutine that ends the process.
func TestContainEndsAPanic(t *testing.T) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer recovery.Contain("test")
		panic("unexpected")
	}()
	<-ended
	require.NotPanics(t, func() { recovery.Contain("test") })
}
