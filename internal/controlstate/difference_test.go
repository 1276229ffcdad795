package controlstate_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// drawPublished returns a valid configuration with a document, as operators of a platform send it.
func drawPublished(t *rapid.T, version uint64) *wire.Configuration {
	names := func(label string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID).Draw(t, label)
	}
	c := &wire.Configuration{Version: version, Document: []byte("document"), Idle: 3000}
	for _, name := range names("groups") {
		c.Groups = append(c.Groups, &wire.Group{Name: name, Connections: uint32(rapid.IntRange(10, 11).Draw(t, "connections"))})
	}
	for _, name := range names("routes") {
		group := rapid.SampledFrom(c.Groups).Draw(t, "group").GetName()
		c.Routes = append(c.Routes, &wire.Route{Name: name, Group: group, Timeout: int64(rapid.IntRange(1, 2).Draw(t, "timeout"))})
	}
	for _, name := range names("accounts") {
		a := &wire.Account{Name: name, Rate: float64(rapid.IntRange(1, 2).Draw(t, "rate"))}
		for _, key := range []string{"x", "y"} {
			if rapid.Bool().Draw(t, "key") {
				a.Keys = append(a.Keys, &wire.Key{Digest: []byte(name + key)})
			}
		}
		c.Accounts = append(c.Accounts, a)
	}
	normal, err := controlstate.Normalize(c)
	if err != nil {
		t.Fatal(err)
	}
	return normal
}

// TestPublishedVersionsAreSentAsEdits guards against versions that are sent in full to every entry VM, and against
// edits that lead to another configuration, also if they come over two streams of which one is behind.
func TestPublishedVersionsAreSentAsEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		control, entry := controlstate.New(), controlstate.New()
		publish := func(version uint64) {
			control.Apply(version, &wire.Entry{Entry: &wire.Entry_Publish{Publish: drawPublished(t, version)}})
		}
		publish(1)
		entry.ApplyUpdate(control.FullUpdate(nil))
		sent := [2]uint64{1, 1} // version of each stream
		for version := uint64(3); version < 30; version += 3 {
			publish(version)
			i := rapid.IntRange(0, 2).Draw(t, "stream")
			if i == len(sent) {
				continue // neither stream sends
			}
			u, ok := control.UpdateSince(sent[i], sent[i], nil)
			require.True(t, ok, "the edits since version %d", sent[i])
			entry.ApplyUpdate(proto.CloneOf(u))
			sent[i] = u.GetVersion()
			want := control.FullUpdate(nil).GetFull()
			require.True(t, proto.Equal(want, entry.Configuration()), "want %v, have %v", want, entry.Configuration())
			require.Len(t, entry.Views(), len(want.GetGroups()))
		}
	})
}
