package loopback_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/loopback"
)

// TestAddressesStayReserved guards against a port that is given out twice before its server listens.
func TestAddressesStayReserved(t *testing.T) {
	seen := map[string]bool{}
	for _, address := range loopback.Addresses(t, 500) {
		require.False(t, seen[address], address)
		seen[address] = true
	}
}

// TestAddressIsFree guards against an address on which its server cannot listen.
func TestAddressIsFree(t *testing.T) {
	l, err := net.Listen("tcp", loopback.Address(t))
	require.NoError(t, err)
	l.Close()
}
