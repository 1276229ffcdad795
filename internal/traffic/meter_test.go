package traffic_test

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"fireflyrudder.example/fireflyrudder/internal/traffic"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

type server struct {
	wire.UnimplementedForwardServer
}

func (server) Proofs(context.Context, *wire.ProofsRequest) (*wire.ProofsReply, error) {
	return &wire.ProofsReply{Known: true}, nil
}

// TestCountsByMethod guards against metrics that do not show which messages fill a link.
func TestCountsByMethod(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := grpc.NewServer()
	wire.RegisterForwardServer(s, server{})
	go s.Serve(listener) //nolint:errcheck // ends with the test
	t.Cleanup(s.Stop)
	m := traffic.NewMeter()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(m))
	require.NoError(t, err)
	defer conn.Close()
	for range 3 {
		_, err = wire.NewForwardClient(conn).Proofs(t.Context(), &wire.ProofsRequest{Group: "0123456789"})
		require.NoError(t, err)
	}
	all := new(expvar.Map).Init()
	m.Publish(all)
	var out map[string]map[string]int64
	require.NoError(t, json.Unmarshal([]byte(all.String()), &out))
	require.EqualValues(t, 3, out["calls"]["Proofs"])
	require.GreaterOrEqual(t, out["sent"]["Proofs"], int64(30))
	require.Positive(t, out["received"]["Proofs"])
}
