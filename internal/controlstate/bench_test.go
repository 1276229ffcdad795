package controlstate_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// sizes are numbers of groups and accounts: those of the first users, a tenth of the design size, and the
// design size.
var sizes = []struct{ groups, accounts int }{{3, 8}, {190, 100}, {1900, 1000}}

func newSized(b *testing.B, groups, accounts int) *replica {
	t := &replica{State: controlstate.New()}
	applyEdit := func(e *wire.Edit) { t.apply(change(fmt.Sprint("c", t.index), t.Version(), e)) }
	for i := range accounts {
		applyEdit(account(fmt.Sprintf("account-%04d", i), "main"))
	}
	for i := range groups {
		name := fmt.Sprintf("group-%04d", i)
		applyEdit(group(name, 3))
		applyEdit(route("route-"+name, name, fmt.Sprintf("account-%04d", i%accounts)))
		for m := range 3 {
			t.apply(admit(name, fmt.Sprint(name, "-", m)))
		}
	}
	if len(t.Views()) != groups {
		b.Fatal("the state is not filled")
	}
	return t
}

func forEachSize(b *testing.B, run func(b *testing.B, t *replica)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("groups=%d/accounts=%d", s.groups, s.accounts), func(b *testing.B) {
			t := newSized(b, s.groups, s.accounts)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, t)
		})
	}
}

func BenchmarkStateApplyChange(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *replica) {
		entries := make([]*wire.Entry, b.N)
		for i := range entries {
			entries[i] = change(fmt.Sprint("b", i), t.Version()+uint64(i), account("account-0001", "main"))
		}
		b.ResetTimer()
		for _, e := range entries {
			t.apply(e)
		}
	})
}

func BenchmarkStateApplyRaise(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *replica) {
		e := raise("group-0001", 0, wire.Phase_PHASE_RAISING)
		for i := range b.N {
			e.GetRaise().Term = uint64(i + 1)
			t.apply(e)
		}
	})
}

// BenchmarkStateUpdateSince measures a delta of one edit and one changed view.
func BenchmarkStateUpdateSince(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *replica) {
		version, index := t.Version(), t.Index()
		t.apply(change("last", version, account("account-0001", "main")))
		t.apply(raise("group-0001", 1, wire.Phase_PHASE_RAISING))
		for b.Loop() {
			t.UpdateSince(version, index, nil)
		}
	})
}

func BenchmarkStateSnapshot(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *replica) {
		for b.Loop() {
			t.Snapshot()
		}
	})
}

// BenchmarkStateMarshal measures serializing a snapshot as voters store and send it.
func BenchmarkStateMarshal(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *replica) {
		for b.Loop() {
			b.SetBytes(int64(len(marshalSnapshot(b, t.State))))
		}
	})
}

// BenchmarkStateApplyEvacuation reports the size of the update that an entry VM receives when the zone has a member of each
// group.
func BenchmarkStateApplyEvacuation(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *replica) {
		before := t.Index()
		for i := range b.N {
			t.apply(evacuation("zone-a", fmt.Sprint(i), i%2 > 0))
		}
		u, _ := t.UpdateSince(t.Version(), before, nil)
		b.ReportMetric(float64(proto.Size(u)), "update-bytes")
	})
}
