// Package loopback gives tests addresses for servers that open their listeners themselves.
package loopback

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

const (
	// firstPort and lastPort are below the ports that Linux gives to outgoing connections and to listeners on port
	// 0, so that nothing takes a reserved port before its server listens.
	firstPort = 20_000
	lastPort  = 32_000
	// serverIP is the IP address of the servers. A listener on the same port of reservationIP marks a port as
	// reserved for other test processes.
	serverIP      = "127.0.0.1"
	reservationIP = "127.0.0.2"
)

// Addresses returns n addresses on which nothing listens. They are reserved until the test ends.
func Addresses(t testing.TB, n int) []string {
	t.Helper()
	addresses := make([]string, 0, n)
	for range n {
		addresses = append(addresses, reserve(t))
	}
	return addresses
}

// Address returns one address like Addresses.
func Address(t testing.TB) string {
	t.Helper()
	return reserve(t)
}

func reserve(t testing.TB) string {
	t.Helper()
	const ports = lastPort - firstPort
	start := rand.IntN(ports)
	for i := range ports {
		port := strconv.Itoa(firstPort + (start+i)%ports)
		reservation, err := net.Listen("tcp", net.JoinHostPort(reservationIP, port))
		if err != nil {
			continue
		}
		address := net.JoinHostPort(serverIP, port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			t.Cleanup(func() { reservation.Close() })
			return address
		}
		reservation.Close()
	}
	t.Fatal("loopback: every port is in use")
	return ""
}
