package socket_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/socket"
)

// connect returns both sides of a TCP connection.
func connect(t *testing.T) (here, there net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	there, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	here, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { here.Close(); there.Close() })
	return here, there
}

// TestPeekTellsClosedFromSilent guards against a connection whose other side has left being taken for an idle one.
func TestPeekTellsClosedFromSilent(t *testing.T) {
	here, there := connect(t)
	require.Equal(t, socket.Silent, socket.Peek(here))
	there.Write([]byte("a")) //nolint:errcheck // the state shows it
	require.Eventually(t, func() bool { return socket.Peek(here) == socket.Readable }, time.Second, time.Millisecond)
	there.Close()
	n, err := here.Read(make([]byte, 2))
	require.NoError(t, err, "peeking must consume nothing")
	require.Equal(t, 1, n)
	require.Eventually(t, func() bool { return socket.Peek(here) == socket.Closed }, time.Second, time.Millisecond)
}

// TestPeekSeesReset guards against the same after a reset, which closes without an end of the data.
func TestPeekSeesReset(t *testing.T) {
	here, there := connect(t)
	require.NoError(t, there.(*net.TCPConn).SetLinger(0))
	there.Close()
	require.Eventually(t, func() bool { return socket.Peek(here) == socket.Closed }, time.Second, time.Millisecond)
}

// TestPeekOfOwnClosedConnection guards against a closed descriptor being read, which another connection may have by now.
func TestPeekOfOwnClosedConnection(t *testing.T) {
	here, _ := connect(t)
	here.Close()
	require.Equal(t, socket.Closed, socket.Peek(here))
}

// TestPeekOfOtherConnections guards against refusing callers whose connection is not TCP.
func TestPeekOfOtherConnections(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	require.Equal(t, socket.Silent, socket.Peek(here))
}
