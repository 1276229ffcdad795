package controlstate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

func register(b *controlstate.State, index uint64, entry, process string) {
	b.Apply(index, &wire.Entry{Entry: &wire.Entry_Register{Register: &wire.Registration{
		Entry: entry, Name: "frontend-" + entry, Zone: "zone", Process: process, Forward: process,
	}}})
}

// TestRegistrationsAreSentAsChanges guards against messages that grow with the number of entry VMs: each restart of one
// sent all of them to all, which is the square of their number.
func TestRegistrationsAreSentAsChanges(t *testing.T) {
	for _, vms := range []int{11, 88, 300, 794} {
		b := controlstate.New()
		for i := range vms {
			register(b, uint64(i+1), fmt.Sprintf("e%03d", i), fmt.Sprintf("host:%d", i))
		}
		before := b.RegistrationIndex()
		register(b, before+1, "restarted", "host:7")
		u := &wire.Update{}
		b.FillRegistrations(u, before, true)
		require.Equal(t, before, u.Since)
		require.Len(t, u.Entries, 1)
		require.Equal(t, []string{"e007"}, u.Gone)
		require.Less(t, proto.Size(u), 100)
		full := &wire.Update{}
		b.FillRegistrations(full, before, false)
		require.Len(t, full.Entries, vms, "a receiver of an earlier build gets all")
	}
}

// TestMarkIsSmall guards against a second stream whose messages grow with the site.
func TestMarkIsSmall(t *testing.T) {
	for _, vms := range []int{11, 88, 300, 794} {
		b := controlstate.New()
		for i := range vms {
			register(b, uint64(i+1), fmt.Sprintf("e%03d", i), fmt.Sprintf("host:%d", i))
		}
		b.Apply(uint64(vms+1), &wire.Entry{Entry: &wire.Entry_Change{Change: &wire.Change{Id: "c", Edits: []*wire.Edit{group("g", 3)}}}})
		mark := b.Mark(nil)
		require.Equal(t, b.Version(), mark.Version)
		require.Equal(t, b.Index(), mark.Index, "the view of the group changed last")
		require.Less(t, proto.Size(mark), 30)
		require.Zero(t, b.Mark([]string{"another"}).Index)
	}
}

// TestRegistrationChangesConverge guards against an entry VM that keeps a registration that is gone or misses one, with
// two streams that send changes since different times, in any order.
func TestRegistrationChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		control, entry := controlstate.New(), controlstate.New()
		streams := []uint64{0, 0} // index of the registrations that each stream sent last
		for index := range uint64(rapid.IntRange(1, 60).Draw(t, "changes")) {
			id := fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "entry"))
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0, 1:
				register(control, index+1, id, fmt.Sprint("host:", rapid.IntRange(0, 5).Draw(t, "process")))
			case 2:
				control.Apply(index+1, &wire.Entry{Entry: &wire.Entry_Lapse{Lapse: id}})
			case 3:
				control.Apply(index+1, &wire.Entry{Entry: &wire.Entry_Forget{Forget: id}})
			}
			stream := rapid.IntRange(0, 2).Draw(t, "stream")
			if stream < len(streams) {
				send(control, entry, &streams[stream])
			}
		}
		send(control, entry, &streams[0])
		require.Equal(t, len(control.Registrations()), len(entry.Registrations()))
		for i, r := range control.Registrations() {
			require.True(t, proto.Equal(r, entry.Registrations()[i]))
		}
	})
}

// send sends the registrations on a stream that sent those of an index before.
func send(control, entry *controlstate.State, sent *uint64) {
	if control.RegistrationIndex() <= *sent {
		return
	}
	u := &wire.Update{}
	control.FillRegistrations(u, *sent, true)
	*sent = u.Entered
	entry.ApplyUpdate(u)
}

// TestCapacityOfVMsIsKept guards against entry VMs that compute different owners, because some know the capacity of a VM
// and others, which got all registrations, changes or a registration that had lapsed, do not.
func TestCapacityOfVMsIsKept(t *testing.T) {
	control := controlstate.New()
	register(control, 1, "other", "host:1")
	control.Apply(2, &wire.Entry{Entry: &wire.Entry_Register{Register: &wire.Registration{Entry: "e", Cores: 0.5, Link: 2}}})
	control.Apply(3, &wire.Entry{Entry: &wire.Entry_Lapse{Lapse: "e"}})
	for _, known := range []uint64{0, 1} {
		u, entry := &wire.Update{}, controlstate.New()
		if known > 0 {
			entry.ApplyUpdate(&wire.Update{Entered: known})
		}
		control.FillRegistrations(u, known, true)
		entry.ApplyUpdate(u)
		r := entry.Registrations()[0]
		require.Equal(t, "e", r.GetEntry())
		require.Equal(t, []float64{0.5, 2}, []float64{r.GetCores(), r.GetLink()})
	}
}
