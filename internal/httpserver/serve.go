// Package httpserver serves HTTP until a context ends, and answers the requests that it has accepted by then.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// readHeaderTimeout bounds the time for the head of a request, so that silent connections end.
const readHeaderTimeout = 5 * time.Second

// Serve serves requests until ctx ends. It returns after the requests in progress have been answered; after grace they are
// cut off.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan struct{})
	defer context.AfterFunc(ctx, func() {
		defer close(stopped)
		stop(server, grace)
	})()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "httpserver")
	}
	<-stopped
	return nil
}

// stop closes the listener of a server, and its connections once their requests are answered.
func stop(server *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.WithError(err).WithField("event", "stop").Warn("requests that were not answered in time are cut off")
		server.Close()
	}
}
