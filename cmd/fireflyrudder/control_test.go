package main_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	main "fireflyrudder.example/fireflyrudder/cmd/fireflyrudder"

	"fireflyrudder.example/fireflyrudder/internal/loopback"
)

// runAsCommand is the environment variable that makes the test binary run as the command.
const runAsCommand = "FIREFLYRUDDER_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		os.Exit(main.Run(context.Background(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// command returns a process of this program that is killed at the end of the test.
func command(t *testing.T, args ...string) *exec.Cmd {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	c := exec.CommandContext(ctx, os.Args[0], args...)
	c.Env = append(os.Environ(), runAsCommand+"=1", "USER=operator")
	return c
}

// execute runs a command to its end and returns its exit code, standard output and standard error.
func execute(t *testing.T, args ...string) (code int, out, errOut string) {
	c := command(t, args...)
	var stdout, stderr bytes.Buffer
	c.Stdout, c.Stderr = &stdout, &stderr
	err := c.Run()
	if err != nil {
		require.IsType(t, &exec.ExitError{}, err)
	}
	return c.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

const groupConfiguration = `
[group main]
members = 3
slots = 3
connections = 24
`

// controlGroup returns the addresses of three control VMs and a function that starts one of them as a
// process.
func controlGroup(t *testing.T) (addresses []string, start func(i int) *exec.Cmd) {
	var announce, data []string
	for range 3 {
		addresses = append(addresses, loopback.Address(t))
		announce = append(announce, loopback.Address(t))
		data = append(data, filepath.Join(t.TempDir(), "data"))
	}
	return addresses, func(i int) *exec.Cmd {
		args := []string{"control", "--data", data[i], "--listen", addresses[i], "--announce", announce[i], "--log-level", "error"}
		for _, p := range addresses {
			args = append(args, "--peer", p)
		}
		c := command(t, args...)
		require.NoError(t, c.Start())
		t.Cleanup(func() {
			c.Process.Kill()
			c.Wait()
		})
		return c
	}
}

// Guards against losing accepted changes and evacuations when every process is killed, against changed exit codes, which
// scripts rely on, against a resent change that takes effect twice, and against a mistyped zone that is accepted.
func TestControlCommands(t *testing.T) {
	addresses, start := controlGroup(t)
	processes := []*exec.Cmd{start(0), start(1), start(2)}
	var controls []string
	for _, a := range addresses {
		controls = append(controls, "--control", a)
	}
	withControls := func(args ...string) []string { return append(args, controls...) }
	file := filepath.Join(t.TempDir(), "c.ini")
	require.NoError(t, os.WriteFile(file, []byte(groupConfiguration), 0o600))

	code, out, errOut := execute(t, withControls("apply", "--file", file, "--id", "first", "--base", "0")...)
	require.Zero(t, code, errOut)
	require.Contains(t, out, "accepted as version 1")
	code, _, errOut = execute(t, withControls("apply", "--file", file, "--id", "second", "--base", "0")...)
	require.Equal(t, 3, code)
	require.Contains(t, errOut, "lost against change first")
	code, _, errOut = execute(t, withControls("apply", "--drop-account", "nobody")...)
	require.Equal(t, 1, code)
	require.Contains(t, errOut, "remedy: ")
	code, _, errOut = execute(t, withControls("apply", "--withdraw-key", "nobody")...)
	require.Equal(t, 2, code, errOut)
	for range 2 {
		code, out, errOut = execute(t, withControls("evacuate", "--zone", "zone-a")...)
		require.Zero(t, code, errOut)
		require.Equal(t, "evacuated: zone-a\n", out)
	}
	code, _, errOut = execute(t, withControls("evacuate", "--zone", "zone-aa")...)
	require.Equal(t, 1, code)
	require.Contains(t, errOut, "use one of zone-a")
	code, _, errOut = execute(t, withControls("evacuate")...)
	require.Equal(t, 2, code, errOut)

	for _, p := range processes {
		require.NoError(t, p.Process.Kill())
		p.Wait()
	}
	for i := range processes {
		start(i)
	}
	code, out, errOut = execute(t, withControls("apply", "--file", file, "--id", "first", "--base", "0")...)
	require.Zero(t, code, errOut)
	require.Contains(t, out, "accepted as version 1", "the first outcome")
	code, out, errOut = execute(t, withControls("status", "--configuration")...)
	require.Zero(t, code, errOut)
	require.Equal(t, strings.TrimSpace(groupConfiguration), strings.TrimSpace(out))
	code, out, _ = execute(t, withControls("status")...)
	require.Zero(t, code)
	require.Contains(t, out, "1 (change first)")
	require.Regexp(t, `(?m)^evacuated +zone-a$`, out)
	for range 2 {
		code, out, errOut = execute(t, withControls("evacuate", "--zone", "zone-a", "--end")...)
		require.Zero(t, code, errOut)
		require.Equal(t, "evacuated: none\n", out)
	}
}

// Guards against losing accepted changes when the leader is killed between two changes.
func TestControlLeaderKilled(t *testing.T) {
	addresses, start := controlGroup(t)
	processes := []*exec.Cmd{start(0), start(1), start(2)}
	args := []string{"--timeout", "20s"}
	for _, a := range addresses {
		args = append(args, "--control", a)
	}
	file := filepath.Join(t.TempDir(), "c.ini")
	for i := range 8 {
		text := fmt.Sprintf("[account a%d]\nrate = 1\nburst = 1\n", i)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		if i%3 == 1 {
			_, out, _ := execute(t, append([]string{"status", "--json"}, args...)...)
			for j, a := range addresses {
				if strings.Contains(strings.ReplaceAll(out, " ", ""), `"leader":"`+a) {
					require.NoError(t, processes[j].Process.Kill())
					processes[j].Wait()
					processes[j] = start(j)
				}
			}
		}
		code, out, errOut := execute(t, append([]string{"apply", "--file", file, "--base", fmt.Sprint(i)}, args...)...)
		require.Zero(t, code, errOut)
		require.Contains(t, out, fmt.Sprintf("version %d", i+1))
	}
}

// Guards against a control VM that waits forever because its own address is missing in the list of peers.
func TestControlSettings(t *testing.T) {
	code, _, errOut := execute(t, "control", "--check", "--data", t.TempDir(), "--listen", "127.0.0.1:1", "--peer", "127.0.0.1:2")
	require.Equal(t, 2, code)
	require.Contains(t, errOut, "127.0.0.1:1 included")
}
