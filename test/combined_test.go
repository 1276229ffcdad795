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

// Guards against faults that only meet in combination: processes stop, wake up and die while others
// do. FIREFLYRUDDER_SEED selects another order of faults.
func TestFaultsTogether(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv("FIREFLYRUDDER_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	r := rand.New(rand.NewPCG(seed, 0))
	s := boot(t)
	killed := false
	s.underLoad(seed, 24*time.Second, func() {
		for range 5 {
			p := s.victim(r)
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

// victim picks a process, one of the leading ones half of the time.
func (s *system) victim(r *rand.Rand) *process {
	if r.IntN(2) == 0 {
		if v, err := s.status(); err == nil {
			if r.IntN(2) == 0 {
				return s.server[v.Views[0].Primary]
			}
			for i, address := range s.listen {
				if address == v.Leader {
					return s.control[i]
				}
			}
		}
	}
	all := append(append([]*process{}, s.control...), s.entry...)
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, s.server[name])
	}
	return all[r.IntN(len(all))]
}
