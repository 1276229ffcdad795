package httpserver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/httpserver"
)

// start serves a handler that answers after release has closed, and sends it one request. answer receives the body.
func start(t *testing.T, grace time.Duration, release chan struct{}) (stop func(), ended chan error, answer chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	accepted := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		<-release
		io.WriteString(w, "done") //nolint:errcheck // the test checks what arrives
	})
	ended, answer = make(chan error, 1), make(chan string, 1)
	go func() { ended <- httpserver.Serve(ctx, listener, handler, grace) }()
	go func() {
		body := ""
		if r, err := http.Get("http://" + listener.Addr().String()); err == nil {
			content, _ := io.ReadAll(r.Body)
			r.Body.Close()
			body = string(content)
		}
		answer <- body
	}()
	<-accepted
	return cancel, ended, answer
}

// TestAcceptedRequestsAreAnswered guards against requests that a planned stop cuts off.
func TestAcceptedRequestsAreAnswered(t *testing.T) {
	release := make(chan struct{})
	stop, ended, answer := start(t, 5*time.Second, release)
	stop()
	time.Sleep(50 * time.Millisecond)
	close(release)
	require.Equal(t, "done", <-answer)
	require.NoError(t, <-ended)
}

// TestStopIsBounded guards against a request that keeps a process from stopping.
func TestStopIsBounded(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	stop, ended, answer := start(t, 50*time.Millisecond, release)
	stop()
	require.Empty(t, <-answer)
	require.NoError(t, <-ended)
}
