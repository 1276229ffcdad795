// Package recovery confines a panic to the request or connection that caused it. The goroutines that own control state
// do not use it: their state may be incomplete after a panic, and the process starts again from what is durable.
package recovery

import (
	"context"
	"runtime/debug"

	"github.com/apex/log"
	middleware "github.com/grpc-ecosystem/go-grpc-middleware/v2/interceptors/recovery"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ServerOptions makes a gRPC server answer codes.Internal to a call whose handler panics.
func ServerOptions() []grpc.ServerOption {
	handler := middleware.WithRecoveryHandlerContext(func(_ context.Context, cause any) error {
		report("call", cause)
		return status.Error(codes.Internal, "the request failed unexpectedly; see event=panic in the log of the process")
	})
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(middleware.UnaryServerInterceptor(handler)),
		grpc.StreamInterceptor(middleware.StreamServerInterceptor(handler)),
	}
}

// Contain ends a panic of the goroutine that defers it, and logs it. what names what the goroutine serves.
func Contain(what string) {
	if cause := recover(); cause != nil {
		report(what, cause)
	}
}

// report logs a panic.
func report(what string, cause any) {
	log.WithFields(log.Fields{"event": "panic", "what": what, "cause": cause, "stack": string(debug.Stack())}).Error("unexpected failure")
}
