package controlstate_test

import (
	"encoding/base64"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// TestMain fixes the seed of the property tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var digest = base64.StdEncoding.EncodeToString(make([]byte, 32))

var verifier = "SCRAM-SHA-256$4096:c2FsdA==$" + digest + ":" + digest

func account(name string, keys ...string) *wire.Edit {
	a := &wire.Account{Name: name, Rate: 10, Burst: 5}
	for _, k := range keys {
		a.Keys = append(a.Keys, key(k))
	}
	return &wire.Edit{Edit: &wire.Edit_PutAccount{PutAccount: a}}
}

func key(name string) *wire.Key { return &wire.Key{Name: name, Verifier: verifier} }

func group(name string, members uint32) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_PutGroup{PutGroup: &wire.Group{Name: name, Members: members, Slots: 3, Connections: 24}}}
}

func route(name, group string, accounts ...string) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: &wire.Route{Name: name, Group: group, Database: "d", Accounts: accounts}}}
}

func putKey(account string, k *wire.Key) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_PutKey{PutKey: &wire.KeyEdit{Account: account, Key: k}}}
}

func withdraw(account, key string) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_WithdrawKey{WithdrawKey: &wire.KeyName{Account: account, Key: key}}}
}

func dropAccount(name string) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_DropAccount{DropAccount: name}}
}

func dropRoute(name string) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_DropRoute{DropRoute: name}}
}

func dropGroup(name string) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_DropGroup{DropGroup: name}}
}

func retire(name string) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: name}}
}

func restore(name string) *wire.Edit {
	return &wire.Edit{Edit: &wire.Edit_RestoreServer{RestoreServer: name}}
}

func change(id string, base uint64, edits ...*wire.Edit) *wire.Entry {
	return &wire.Entry{Entry: &wire.Entry_Change{Change: &wire.Change{Id: id, Base: base, Edits: edits}}}
}

func raise(group string, term uint64, phase wire.Phase) *wire.Entry {
	return &wire.Entry{Entry: &wire.Entry_Raise{Raise: &wire.RaiseTerm{Group: group, Term: term, Phase: phase}}}
}

func promoted(group string, term uint64, server string, offset uint64) *wire.Entry {
	return &wire.Entry{Entry: &wire.Entry_Promoted{Promoted: &wire.Promoted{Group: group, Term: term, Server: server, Offset: offset}}}
}

func admit(group, server string) *wire.Entry {
	m := &wire.Member{Server: server, Address: "127.0.0.1:1", Zone: "zone-a"}
	return &wire.Entry{Entry: &wire.Entry_Admit{Admit: &wire.Admit{Group: group, Member: m}}}
}

func dismiss(group, server string) *wire.Entry {
	return &wire.Entry{Entry: &wire.Entry_Dismiss{Dismiss: &wire.Dismiss{Group: group, Server: server}}}
}

// replica is a State that applies entries at consecutive indexes.
type replica struct {
	*controlstate.State
	index uint64
}

func (t *replica) apply(e *wire.Entry) *wire.Decision {
	t.index++
	return t.Apply(t.index, e)
}

func newPopulated(t require.TestingT) *replica {
	b := &replica{State: controlstate.New()}
	d := b.apply(change("first", 0, account("a", "main"), account("b"), group("g", 3), group("h", 3), route("r", "g", "a"), route("s", "h")))
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, d.GetVerdict(), d.GetRemedy())
	for _, server := range []string{"x", "y", "z"} {
		b.apply(admit("g", server))
	}
	b.apply(raise("g", 1, wire.Phase_PHASE_RAISING))
	b.apply(promoted("g", 1, "x", 0))
	return b
}

func marshalSnapshot(t require.TestingT, b *controlstate.State) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(b.Snapshot())
	require.NoError(t, err)
	return raw
}

// Guards against accepting a configuration that entry VMs cannot serve, and against refusals without a remedy.
func TestInvalidEdits(t *testing.T) {
	bad := func(a *wire.Account) *wire.Edit { return &wire.Edit{Edit: &wire.Edit_PutAccount{PutAccount: a}} }
	cases := map[string][]*wire.Edit{
		"no edits":                   nil,
		"kind that this version":     {{}},
		`account name "" is not`:     {account("")},
		`"a/b" is not valid`:         {account("a/b")},
		"reserved":                   {account("public")},
		"rate 0":                     {bad(&wire.Account{Name: "c", Burst: 1})},
		"rate -1":                    {bad(&wire.Account{Name: "c", Rate: -1, Burst: 1})},
		"rate NaN":                   {bad(&wire.Account{Name: "c", Rate: math.NaN(), Burst: 1})},
		"rate +Inf":                  {bad(&wire.Account{Name: "c", Rate: math.Inf(1), Burst: 1})},
		"burst 0.5":                  {bad(&wire.Account{Name: "c", Rate: 1, Burst: 0.5})},
		"two keys":                   {account("c", "k", "k")},
		"bad verifier":               {putKey("a", &wire.Key{Name: "n", Verifier: "secret"})},
		"at least 4096 iterations":   {putKey("a", &wire.Key{Name: "n", Verifier: strings.Replace(verifier, "4096", "1", 1)})},
		"already has a key":          {putKey("a", key("main"))},
		`account "q" does not`:       {putKey("q", key("n"))},
		`no key named "n"`:           {withdraw("a", "n")},
		`lists account "q"`:          {route("r", "g", "q")},
		`names group "q"`:            {route("r", "q")},
		"twice":                      {route("r", "g", "a", "a")},
		`lists account "a", which`:   {dropAccount("a")},
		`names group "g", which`:     {dropGroup("g")},
		`account "q" does not exist`: {dropAccount("q")},
		`route "q" does not exist`:   {dropRoute("q")},
		`group "q" does not exist`:   {dropGroup("q")},
		"no members":                 {group("q", 0)},
		"retire servers":             {group("g", 2)},
		"is no member":               {retire("q")},
		"is not retired":             {restore("x")},
	}
	for remedy, edits := range cases {
		b := newPopulated(t)
		before := b.Configuration()
		if len(edits) > 0 {
			edits = append([]*wire.Edit{account("valid")}, edits...)
		}
		d := b.apply(change("c", 1, edits...))
		require.Equal(t, wire.Verdict_VERDICT_INVALID, d.GetVerdict(), remedy)
		require.Contains(t, d.GetRemedy(), remedy)
		require.Same(t, before, b.Configuration(), "an invalid change has no effect")
	}
}

// Guards against accepting two changes for one base version and against applying a resent change twice.
func TestCompareAndSet(t *testing.T) {
	b := newPopulated(t)
	won := b.apply(change("one", 1, account("c")))
	lost := b.apply(change("two", 1, account("d")))
	require.Equal(t, wire.Verdict_VERDICT_CONFLICT, lost.GetVerdict())
	require.Equal(t, "one", lost.GetWinner())
	require.Contains(t, lost.GetRemedy(), "read version 2")
	require.Same(t, won, b.apply(change("one", 1, account("c"))))
	require.Same(t, lost, b.apply(change("two", 2, account("d"))), "a resent change gets its first outcome")
	require.EqualValues(t, 2, b.Version())
	d := b.apply(change("three", 2, dropRoute("r"), dropAccount("a"), dropGroup("g")))
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, d.GetVerdict(), d.GetRemedy())
	require.Len(t, b.Views(), 1)
}

// Guards against unbounded memory and against discarding an outcome too early.
func TestDecisionsBounded(t *testing.T) {
	b := newPopulated(t)
	for i := range 10_000 {
		b.apply(change(fmt.Sprint("c", i), b.Version(), account("c")))
	}
	require.Len(t, b.Snapshot().GetDecisions(), 10_000)
	require.EqualValues(t, 10_001, b.Version())
	require.EqualValues(t, 2, b.apply(change("c0", 0, account("c"))).GetVersion())
	require.Equal(t, wire.Verdict_VERDICT_CONFLICT, b.apply(change("first", 0, account("c"))).GetVerdict(), "its outcome was discarded, so the change is evaluated again")
	_, ok := b.UpdateSince(1, 0, nil)
	require.True(t, ok)
	b.apply(change("more", b.Version(), account("c"), account("d"), account("e")))
	_, ok = b.UpdateSince(1, 0, nil)
	require.False(t, ok, "an entry VM behind the kept edits needs the full state")
}

// Guards against two primaries in one term, late promotions that take effect and invalid membership changes.
func TestViews(t *testing.T) {
	b := newPopulated(t)
	view := func() *wire.View { v, _ := b.View("g"); return v }
	unchanged := func(e *wire.Entry) {
		t.Helper()
		before := view()
		b.apply(e)
		require.Same(t, before, view())
	}
	unchanged(raise("g", 1, wire.Phase_PHASE_RAISING))
	unchanged(promoted("g", 1, "y", 0))
	unchanged(admit("g", "w"))
	unchanged(dismiss("g", "y"))
	b.apply(change("r", 1, retire("y"), retire("x")))
	unchanged(dismiss("g", "x"))
	b.apply(raise("g", 2, wire.Phase_PHASE_SWITCHING))
	require.Equal(t, "x", view().GetPrimary())
	unchanged(dismiss("g", "y"))
	unchanged(raise("g", 3, wire.Phase_PHASE_SWITCHING))
	b.apply(raise("g", 3, wire.Phase_PHASE_RAISING))
	require.Empty(t, view().GetPrimary())
	unchanged(promoted("g", 2, "z", 0))
	unchanged(promoted("g", 3, "w", 0))
	b.apply(promoted("g", 3, "z", 9))
	b.apply(dismiss("g", "x"))
	b.apply(dismiss("g", "y"))
	unchanged(admit("g", "x"))
	unchanged(admit("h", "z"))
	b.apply(change("s", 2, restore("x")))
	b.apply(admit("g", "x"))
	require.Len(t, view().GetMembers(), 2)
	require.Equal(t, []*wire.Start{{Term: 1}, {Term: 3, Offset: 9}}, view().GetHistory())
}

// Guards against an entry VM that keeps a route after it moved to a group that the entry VM does not serve,
// and against applying an entry again after a restart.
func TestUpdateSince(t *testing.T) {
	b := newPopulated(t)
	b.apply(change("move", 1, route("r", "h")))
	u, ok := b.UpdateSince(1, b.Index(), []string{"g"})
	require.True(t, ok)
	require.Len(t, u.GetEdits(), 1)
	require.Equal(t, "r", u.GetEdits()[0].GetDropRoute())
	u, _ = b.UpdateSince(1, b.Index(), []string{"h"})
	require.Equal(t, "r", u.GetEdits()[0].GetPutRoute().GetName())
	u, ok = b.UpdateSince(9, b.Index(), nil)
	require.True(t, ok, "an entry VM ahead of this voter gets no edits")
	require.Empty(t, u.GetEdits())
	c := controlstate.New()
	c.ApplyUpdate(b.FullUpdate(nil))
	late := b.FullUpdate(nil)
	b.apply(change("drop", 2, dropRoute("s"), dropRoute("r"), dropGroup("h")))
	u, _ = b.UpdateSince(2, c.Index(), nil)
	c.ApplyUpdate(u)
	c.ApplyUpdate(late)
	require.Len(t, c.Views(), 1, "a late update does not restore a dropped group")
	first := b.Apply(b.Index(), change("move", 1, route("r", "h")))
	require.EqualValues(t, 2, first.GetVersion())
	before := marshalSnapshot(t, b.State)
	b.Apply(b.Index(), raise("g", 9, wire.Phase_PHASE_RAISING))
	require.Equal(t, before, marshalSnapshot(t, b.State))
}

// Guards against voters that diverge after restoring a snapshot, entry VMs that revert or miss a change when
// updates are lost, duplicated or reordered, and two primaries in one term.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &replica{State: controlstate.New()}
		other := &replica{State: controlstate.New()}
		copies := map[string]*controlstate.State{"": controlstate.New(), "g": controlstate.New()}
		groups := map[string][]string{"": nil, "g": {"g"}}
		delayed := map[string][]*wire.Update{}
		primaries := map[string]string{}
		incarnation := map[string]int{}
		outcomes := map[string]*wire.Decision{}
		name := rapid.SampledFrom([]string{"g", "h", "i"})
		server := rapid.SampledFrom([]string{"x", "y", "z", "w"})
		who := rapid.SampledFrom([]string{"a", "b", "c"})
		term := rapid.Uint64Range(0, 8)
		edit := rapid.Custom(func(t *rapid.T) *wire.Edit {
			return rapid.SampledFrom([]func() *wire.Edit{
				func() *wire.Edit { return account(who.Draw(t, "account")) },
				func() *wire.Edit { return dropAccount(who.Draw(t, "account")) },
				func() *wire.Edit { return putKey(who.Draw(t, "account"), key(who.Draw(t, "key"))) },
				func() *wire.Edit { return withdraw(who.Draw(t, "account"), who.Draw(t, "key")) },
				func() *wire.Edit { return group(name.Draw(t, "group"), rapid.Uint32Range(1, 4).Draw(t, "members")) },
				func() *wire.Edit { return dropGroup(name.Draw(t, "group")) },
				func() *wire.Edit { return route(who.Draw(t, "route"), name.Draw(t, "group"), who.Draw(t, "account")) },
				func() *wire.Edit { return dropRoute(who.Draw(t, "route")) },
				func() *wire.Edit { return retire(server.Draw(t, "server")) },
				func() *wire.Edit { return restore(server.Draw(t, "server")) },
			}).Draw(t, "edit")()
		})
		apply := func(e *wire.Entry) *wire.Decision {
			d := b.apply(e)
			other.apply(e)
			return d
		}
		group := func(g string) []string { return groups[g] }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				version := b.Version()
				base := version - rapid.Uint64Range(0, min(1, version)).Draw(t, "behind")
				id := fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id"))
				edits := rapid.SliceOfN(edit, 1, 3).Draw(t, "edits")
				d := apply(change(id, base, edits...))
				if first, ok := outcomes[id]; ok {
					require.Same(t, first, d)
					require.Equal(t, version, b.Version())
					return
				}
				outcomes[id] = d
				accepted := d.GetVerdict() == wire.Verdict_VERDICT_ACCEPTED
				for _, e := range edits {
					if accepted {
						incarnation[e.GetDropGroup()]++
					}
				}
				require.Equal(t, accepted, b.Version() == version+1)
				require.Equal(t, base != version, d.GetVerdict() == wire.Verdict_VERDICT_CONFLICT)
				require.Equal(t, accepted, d.GetRemedy() == "")
			},
			"raise": func(t *rapid.T) {
				apply(raise(name.Draw(t, "group"), term.Draw(t, "term"), wire.Phase(rapid.IntRange(1, 2).Draw(t, "phase"))))
			},
			"promote": func(t *rapid.T) {
				apply(promoted(name.Draw(t, "group"), term.Draw(t, "term"), server.Draw(t, "server"), 0))
			},
			"admit": func(t *rapid.T) { apply(admit(name.Draw(t, "group"), server.Draw(t, "server"))) },
			"evacuate": func(t *rapid.T) {
				zone := rapid.SampledFrom([]string{"zone-a", "zone-b"}).Draw(t, "zone")
				apply(evacuation(zone, fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id")), rapid.Bool().Draw(t, "withdrawn")))
			},
			"dismiss": func(t *rapid.T) { apply(dismiss(name.Draw(t, "group"), server.Draw(t, "server"))) },
			"restart": func(t *rapid.T) {
				var s wire.Book
				require.NoError(t, proto.Unmarshal(marshalSnapshot(t, other.State), &s))
				back, err := controlstate.Restore(&s)
				require.NoError(t, err)
				back.SetIndex(other.index)
				other.State = back
			},
			"update": func(t *rapid.T) {
				g := rapid.SampledFrom([]string{"", "g"}).Draw(t, "copy")
				from := rapid.SampledFrom([]*replica{b, other}).Draw(t, "voter")
				u, ok := from.UpdateSince(copies[g].Version(), copies[g].Index(), group(g))
				if !ok {
					u = from.FullUpdate(group(g))
				}
				delayed[g] = append(delayed[g], u)
				if rapid.Bool().Draw(t, "lost") {
					return
				}
				version := copies[g].Version()
				copies[g].ApplyUpdate(delayed[g][rapid.IntRange(0, len(delayed[g])-1).Draw(t, "which")])
				require.GreaterOrEqual(t, copies[g].Version(), version)
			},
			"": func(t *rapid.T) {
				require.Equal(t, marshalSnapshot(t, b.State), marshalSnapshot(t, other.State))
				for _, v := range b.Views() {
					if v.GetPhase() != wire.Phase_PHASE_STEADY || v.GetPrimary() == "" {
						continue
					}
					term := fmt.Sprint(v.GetGroup(), incarnation[v.GetGroup()], v.GetTerm())
					if first, ok := primaries[term]; ok {
						require.Equal(t, first, v.GetPrimary(), "two primaries of one term")
					}
					primaries[term] = v.GetPrimary()
				}
			},
		})
		for g, c := range copies {
			u, ok := b.UpdateSince(c.Version(), c.Index(), group(g))
			if !ok {
				u = b.FullUpdate(group(g))
			}
			c.ApplyUpdate(u)
			want := b.FullUpdate(group(g))
			want.Full = proto.Clone(want.GetFull()).(*wire.Configuration)
			want.Full.Change = ""
			got := c.FullUpdate(nil)
			got.Full = proto.Clone(got.GetFull()).(*wire.Configuration)
			got.Full.Change = ""
			require.True(t, proto.Equal(want.GetFull(), got.GetFull()), "%v\n%v", want.GetFull(), got.GetFull())
			require.Len(t, got.GetViews(), len(want.GetViews()))
			for i, v := range want.GetViews() {
				require.True(t, proto.Equal(v, got.GetViews()[i]), "%v\n%v", v, got.GetViews()[i])
			}
		}
	})
}
