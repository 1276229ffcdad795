package local_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/local"
)

// Guards against a broken demonstration: the command in the README must write, survive the failure of the
// primary and pass its own audit.
func TestDemonstrate(t *testing.T) {
	log.SetHandler(discard.Default)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	site, err := local.Start(ctx, local.Options{EntryAddresses: []string{"127.0.0.1:0", "127.0.0.1:0"}})
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, site.Demonstrate(ctx, &out), "%s", &out)
	require.Contains(t, out.String(), "killing the primary")
	require.Contains(t, out.String(), "audit passed")
	stop()
	require.NoError(t, site.Wait())
}
