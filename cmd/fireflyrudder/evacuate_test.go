package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an evacuation that is lost when every process is killed, against a mistyped zone that is accepted, and against
// changed output and exit codes, which scripts rely on.
func TestEvacuateCommand(t *testing.T) {
	addresses, start := controlGroup(t)
	processes := []*exec.Cmd{start(0), start(1), start(2)}
	run := func(args ...string) (code int, out, errOut string) {
		for _, a := range addresses {
			args = append(args, "--control", a)
		}
		return execute(t, args...)
	}
	file := filepath.Join(t.TempDir(), "c.ini")
	require.NoError(t, os.WriteFile(file, []byte(groupConfiguration), 0o600))
	code, _, errOut := run("apply", "--file", file)
	require.Zero(t, code, errOut)

	for range 2 {
		code, out, errOut := run("evacuate", "--zone", "zone-a")
		require.Zero(t, code, errOut)
		require.Equal(t, "evacuated: zone-a\n", out)
	}
	code, _, errOut = run("evacuate", "--zone", "zone-aa")
	require.Equal(t, 1, code)
	require.Contains(t, errOut, "use one of zone-a")
	code, _, errOut = run("evacuate")
	require.Equal(t, 2, code, errOut)

	for _, p := range processes {
		require.NoError(t, p.Process.Kill())
		p.Wait()
	}
	for i := range processes {
		start(i)
	}
	code, out, errOut := run("status")
	require.Zero(t, code, errOut)
	require.Regexp(t, `(?m)^evacuated +zone-a$`, out)
	for range 2 {
		code, out, errOut = run("evacuate", "--zone", "zone-a", "--end")
		require.Zero(t, code, errOut)
		require.Equal(t, "evacuated: none\n", out)
	}
}
