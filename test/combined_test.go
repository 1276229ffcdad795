package process_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against failures that only a combination of faults causes: processes are suspended for overlapping
// times and at most one is killed meanwhile. FIREFLYRUDDER_SEED selects another sequence of faults.
func TestFaultsTogether(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv("FIREFLYRUDDER_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	r := rand.New(rand.NewPCG(seed, 0))
	s := startSystem(t)
	killed := false
	s.underLoad(seed, 24*time.Second, func() {
		for range 5 {
			p := s.pickProcess(r)
			length := time.Duration(500+r.IntN(3500)) * time.Millisecond
			if !killed && r.IntN(4) == 0 {
				t.Logf("kill %s", p.name)
				p.signal(syscall.SIGKILL)
				killed = true
				continue
			}
			t.Logf("stop %s for %s", p.name, length)
			p.signal(syscall.SIGSTOP)
			time.AfterFunc(length, func() { p.signal(syscall.SIGCONT) })
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		}
	})
}

// pickProcess returns a random process. Half of the time it is the primary or the control leader.
func (s *system) pickProcess(r *rand.Rand) *process {
	if r.IntN(2) == 0 {
		if v, err := s.status(); err == nil {
			if r.IntN(2) == 0 {
				return s.servers[v.Views[0].Primary]
			}
			for i, address := range s.controlAddresses {
				if address == v.Leader {
					return s.controlVMs[i]
				}
			}
		}
	}
	all := append(append([]*process{}, s.controlVMs...), s.entryVMs...)
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, s.servers[name])
	}
	return all[r.IntN(len(all))]
}
