package console_test

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/console"
)

// Guards against a console that reports a process as ready when it is not, or omits its metrics.
func TestConsole(t *testing.T) {
	vars := new(expvar.Map).Init()
	vars.Add("renewals", 3)
	var broken error
	s, err := console.Listen("127.0.0.1:0", console.Process{
		Name: "control", Vars: vars,
		Dump:  func(context.Context) (any, error) { return map[string]int{"term": 7}, broken },
		Ready: func(context.Context) error { return broken },
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + s.Address() + path)
		require.NoError(t, err)
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		return r.StatusCode, string(text)
	}
	_, text := get("/debug/vars")
	require.Contains(t, text, `"renewals": 3`)
	require.Contains(t, text, `"memstats"`)
	_, text = get("/dump")
	require.JSONEq(t, `{"term": 7}`, text)
	code, _ := get("/ready")
	require.Equal(t, http.StatusOK, code)
	broken = errors.New("no leader")
	code, text = get("/ready")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, text, "no leader")
	code, _ = get("/dump")
	require.Equal(t, http.StatusServiceUnavailable, code)
	cancel()
	require.NoError(t, <-ended)
}
