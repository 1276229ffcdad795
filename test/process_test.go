// Package process_test runs the system as separate processes on loopback and injects faults.
package process_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	waitTimeout  = 30 * time.Second // of every wait for the system
	pollInterval = 20 * time.Millisecond
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "fireflyrudder")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "fireflyrudder")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/fireflyrudder").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// process is one process of the program under test.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	output *output
	exited chan struct{}
}

// output buffers what a process writes. It is safe for concurrent use.
type output struct {
	sync.Mutex
	bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.Lock()
	defer o.Unlock()
	return o.Buffer.Write(p)
}

// tail returns the end of the output.
func (o *output) tail() string {
	o.Lock()
	defer o.Unlock()
	const maxBytes = 4000
	b := o.Bytes()
	return string(b[max(0, len(b)-maxBytes):])
}

// startProcess starts a process. It is killed at the end of the test if it still runs.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary, args...), output: &output{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	require.NoError(t, p.cmd.Start())
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("%s %v:\n%s", name, args, p.output.tail())
		}
	})
	return p
}

// signal sends a signal to this process, unless it has exited.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(s)
	}
}

// waitExit waits until the process exits and returns its exit code.
func (p *process) waitExit() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		require.Fail(p.t, p.name+" did not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// runCommand runs the program to its end and returns its combined output.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	out, err := exec.CommandContext(t.Context(), binary, args...).CombinedOutput()
	return string(out), err
}
