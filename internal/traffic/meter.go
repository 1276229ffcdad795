// Package traffic counts the messages and bytes that a process exchanges with the other processes of the system, by
// gRPC method. Links of small VMs are narrow, and bytes between availability zones cost more than others.
package traffic

import (
	"context"
	"expvar"
	"path"

	"google.golang.org/grpc/stats"
)

// Meter counts the calls that a process makes. It is a stats.Handler of gRPC clients and safe for concurrent use.
type Meter struct {
	calls    *expvar.Map // requests, or messages of a stream, by method
	sent     *expvar.Map // bytes of messages with their framing, without the headers of HTTP/2 and TCP, by method
	received *expvar.Map // likewise
}

// methodKey is the key of the method's name in the context of a call.
type methodKey struct{}

// NewMeter returns a Meter that has counted nothing.
func NewMeter() *Meter {
	return &Meter{calls: new(expvar.Map).Init(), sent: new(expvar.Map).Init(), received: new(expvar.Map).Init()}
}

// Publish adds the counters to the metrics of the process.
func (m *Meter) Publish(all *expvar.Map) {
	all.Set("calls", m.calls)
	all.Set("sent", m.sent)
	all.Set("received", m.received)
}

// Summary returns the bytes sent and received by method as JSON, for a log line.
func (m *Meter) Summary() (sent, received string) {
	return m.sent.String(), m.received.String()
}

// TagRPC implements stats.Handler.
func (m *Meter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(info.FullMethodName))
}

// HandleRPC implements stats.Handler.
func (m *Meter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch s := s.(type) {
	case *stats.OutPayload:
		m.calls.Add(method, 1)
		m.sent.Add(method, int64(s.WireLength))
	case *stats.InPayload:
		m.received.Add(method, int64(s.WireLength))
	}
}

// TagConn implements stats.Handler.
func (m *Meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (m *Meter) HandleConn(context.Context, stats.ConnStats) {}
