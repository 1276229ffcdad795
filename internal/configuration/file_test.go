package configuration_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/configuration"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const valid = `
[route r]
group = main
database = db
accounts = a, b
age = 500ms
repeatable = true
[account b]
rate = 0.5
burst = 1
weight = 2
[account a]
rate = 100
burst = 50
[key a/main]
verifier = SCRAM-SHA-256$4096:c2FsdA==$x/+=:y;#=
[group main]
members = 3
slots = 2
connections = 24
[server old]
retired = true
`

func writeFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "c.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Guards against values that change between reading and writing.
func TestRoundTrip(t *testing.T) {
	c, err := configuration.Read(writeFile(t, valid))
	require.NoError(t, err)
	want := &wire.Configuration{
		Accounts: []*wire.Account{
			{Name: "a", Rate: 100, Burst: 50, Weight: 1, Keys: []*wire.Key{{Name: "main", Verifier: "SCRAM-SHA-256$4096:c2FsdA==$x/+=:y;#="}}},
			{Name: "b", Rate: 0.5, Burst: 1, Weight: 2},
		},
		Routes:  []*wire.Route{{Name: "r", Group: "main", Database: "db", Accounts: []string{"a", "b"}, Age: 500, Repeatable: true}},
		Groups:  []*wire.Group{{Name: "main", Members: 3, Slots: 2, Connections: 24}},
		Retired: []string{"old"},
	}
	require.True(t, proto.Equal(want, c), "%v", c)
	var b bytes.Buffer
	require.NoError(t, configuration.Write(&b, c))
	again, err := configuration.Read(writeFile(t, b.String()))
	require.NoError(t, err)
	require.True(t, proto.Equal(want, again), "%v", again)
	require.Len(t, configuration.Edits(c), 5)
	drops := configuration.Prune(c, &wire.Configuration{Accounts: c.Accounts[:1]})
	require.Len(t, drops, 4, "account, route and group are dropped, the server is restored")
}

// Guards against accepting part of a malformed file, and against refusals that do not name the location and a
// remedy.
func TestRefusals(t *testing.T) {
	for problem, edit := range map[string][2]string{
		"[router r] is not known":                              {"[route r]", "[router r]"},
		"[route] has no name":                                  {"[route r]", "[route]"},
		"[route r] groups is not known":                        {"group = main", "groups = main"},
		"[route r] group is missing":                           {"group = main", ""},
		`[route r] age is "fast"`:                              {"500ms", "fast"},
		`[route r] age is "-1s"`:                               {"500ms", "-1s"},
		`[route r] age is "1us"`:                               {"500ms", "1us"},
		`[route r] repeatable is "yes"`:                        {"repeatable = true", "repeatable = yes"},
		`[route r] open is ""`:                                 {"repeatable = true", "open ="},
		`[account a] rate is "many"`:                           {"rate = 100", "rate = many"},
		`[account a] rate is "NaN"`:                            {"rate = 100", "rate = NaN"},
		`[account a] burst is "0"`:                             {"burst = 50", "burst = 0"},
		`[account b] weight is "-2"`:                           {"weight = 2", "weight = -2"},
		`[group main] slots is "2.5"`:                          {"slots = 2", "slots = 2.5"},
		"[account a] is given twice":                           {"[account b]", "[account a]"},
		"[account a] rate is given twice":                      {"burst = 50", "rate = 7"},
		"[key a] does not name":                                {"[key a/main]", "[key a]"},
		"[key c/main] names an account that the file does not": {"[key a/main]", "[key c/main]"},
		"[key a/main] verifier is missing":                     {"verifier = SCRAM", "#"},
		"stray is outside of every section":                    {"[route r]", "stray = 1\n[route r]"},
	} {
		text := strings.Replace(valid, edit[0], edit[1], 1)
		require.NotEqual(t, valid, text)
		file := writeFile(t, text)
		_, err := configuration.Read(file)
		require.ErrorContains(t, err, problem)
		require.ErrorContains(t, err, file)
		require.NotEmpty(t, errors.GetAllHints(err), problem)
	}
	_, err := configuration.Read("missing.ini")
	require.Error(t, err)
	require.NotEmpty(t, errors.GetAllHints(err))
}
