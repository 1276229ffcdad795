package controlvm

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Limits of gRPC connections between processes.
const (
	maxMessageBytes   = 256 << 20 // a snapshot is sent as one message
	maxRedialDelay    = 300 * time.Millisecond
	connectTimeout    = 150 * time.Millisecond // of the first attempts; later ones get up to maxRedialDelay
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = time.Second // also ends a connection whose data is not acknowledged for so long
)

// Dial returns a connection to the gRPC listener of a control VM. It connects on first use and reconnects
// after a loss with a backoff of at most 300 ms. A nil pair means no TLS.
func Dial(address string, pair *certificate.Reloader, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	transport := insecure.NewCredentials()
	if pair != nil {
		transport = credentials.NewTLS(pair.ClientConfig(address))
	}
	options = append(options, wire.ClientOptions()...)
	options = append(options,
		grpc.WithTransportCredentials(transport),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	return conn, errors.Wrap(err, "controlvm: dial")
}

// Dialer returns a function that dials control VMs for package renewal. A nil pair means no TLS.
func Dialer(pair *certificate.Reloader, options ...grpc.DialOption) func(address string) (wire.ControlClient, io.Closer, error) {
	return func(address string) (wire.ControlClient, io.Closer, error) {
		c, err := Dial(address, pair, options...)
		if err != nil {
			return nil, nil, err
		}
		return wire.NewControlClient(c), c, nil
	}
}

// VoterDialer returns a function that dials the listeners of voters. A nil pair means no TLS.
func VoterDialer(pair *certificate.Reloader, options ...grpc.DialOption) func(address string) (wire.VoterClient, io.Closer, error) {
	return func(address string) (wire.VoterClient, io.Closer, error) {
		c, err := Dial(address, pair, options...)
		if err != nil {
			return nil, nil, err
		}
		return wire.NewVoterClient(c), c, nil
	}
}
