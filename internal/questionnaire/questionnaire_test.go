package questionnaire_test

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/xdg-go/scram"

	"fireflyrudder.example/fireflyrudder/internal/configuration"
	"fireflyrudder.example/fireflyrudder/internal/controlstate"
	"fireflyrudder.example/fireflyrudder/internal/questionnaire"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const completed = `[site]
title = Test
[database d]
database = data
instances = 3
slots = 2
connections = 24
stale = 500ms
[database o]
database = data
instances = 1
slots = 1
connections = 3
stale = 0s
open = yes
repeatable = yes
[account a]
rate = 10
burst = 5
keys = main, spare
databases = d
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "questionnaire.ini")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// Guards against a completed example that is refused, or that loses its title.
func TestExamples(t *testing.T) {
	for name, title := range map[string]string{
		"cascadia": "Adult Art Class Registration Pooling Setup",
		"vinokrug": "Vinokrug En Primeur Allocation Pooling Annex",
	} {
		q, err := questionnaire.Read(filepath.Join("..", "..", "examples", name, "questionnaire.ini"))
		require.NoError(t, err)
		require.Equal(t, title, q.Title)
		require.Len(t, q.Databases, 3)
		require.Len(t, q.Accounts, 8)
		requireAccepted(t, q)
	}
}

// requireAccepted generates a configuration, writes it, reads it back and applies it, and returns the applied
// one.
func requireAccepted(t *testing.T, q *questionnaire.Questionnaire) (*wire.Configuration, []questionnaire.Secret) {
	t.Helper()
	c, secrets, err := q.Generate(rand.Reader, nil)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, configuration.Write(&out, c))
	back, err := configuration.Read(writeFile(t, out.String()))
	require.NoError(t, err)
	change := &wire.Change{Id: "first", Edits: configuration.Edits(back)}
	state := controlstate.New()
	d := state.Apply(1, &wire.Entry{Entry: &wire.Entry_Change{Change: change}})
	require.Equal(t, wire.Verdict_VERDICT_ACCEPTED, d.GetVerdict(), d.GetRemedy())
	return state.Configuration(), secrets
}

// Guards against keys that do not authenticate their account, plain-text keys in the configuration, and
// accounts, keys or settings of the questionnaire that are missing in the configuration.
func TestGenerate(t *testing.T) {
	q, err := questionnaire.Read(writeFile(t, completed))
	require.NoError(t, err)
	c, secrets := requireAccepted(t, q)
	require.Equal(t, []string{"a"}, c.GetRoutes()[0].GetAccounts())
	require.EqualValues(t, 500, c.GetRoutes()[0].GetAge())
	require.True(t, c.GetRoutes()[1].GetOpen() && c.GetRoutes()[1].GetRepeatable())
	require.Empty(t, c.GetRoutes()[1].GetAccounts())
	require.Len(t, secrets, 2)
	require.NotEqual(t, secrets[0].Password, secrets[1].Password)
	for i, s := range secrets {
		require.True(t, authenticates(t, s, c.GetAccounts()[0].GetKeys()[i].GetVerifier()))
		require.NotContains(t, c.String(), s.Password)
	}
	require.False(t, authenticates(t, secrets[0], c.GetAccounts()[0].GetKeys()[1].GetVerifier()))

	name := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, questionnaire.WriteSecrets(name, secrets))
	info, err := os.Stat(name)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Contains(t, string(text), "a/main "+secrets[0].Password+"\n")
	require.Error(t, questionnaire.WriteSecrets(name, secrets), "keys are never overwritten")
}

// authenticates reports whether the key matches the verifier in a SCRAM exchange.
func authenticates(t *testing.T, s questionnaire.Secret, verifier string) bool {
	t.Helper()
	parts := regexp.MustCompile(`^SCRAM-SHA-256\$4096:(.+)\$(.+):(.+)$`).FindStringSubmatch(verifier)
	require.NotNil(t, parts)
	var raw [3][]byte
	for i := range raw {
		var err error
		raw[i], err = base64.StdEncoding.DecodeString(parts[i+1])
		require.NoError(t, err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(raw[0]), Iters: 4096}, StoredKey: raw[1], ServerKey: raw[2],
		}, nil
	})
	require.NoError(t, err)
	client, err := scram.SHA256.NewClient(s.User, s.Password, "")
	require.NoError(t, err)
	c, v := client.NewConversation(), server.NewConversation()
	text := ""
	for range 2 {
		if text, err = c.Step(text); err != nil {
			return false
		}
		if text, err = v.Step(text); err != nil {
			return false
		}
	}
	_, err = c.Step(text)
	return err == nil && v.Valid()
}

// Guards against accepting part of a malformed questionnaire, and against refusals that do not name the
// location and a remedy.
func TestRefusals(t *testing.T) {
	_, err := questionnaire.Read(writeFile(t, questionnaire.Template()))
	require.ErrorContains(t, err, "[site] title is missing")
	for _, c := range []struct{ old, text, want string }{
		{"slots = 2", "slots = 0", `[database d] slots is "0"`},
		{"slots = 2", "", `[database d] slots is ""`},
		{"slots = 2", "slots = 2\nslots = 3", "[database d] slots is given twice"},
		{"slots = 2", "slot = 2", "[database d] slot is not known"},
		{"connections = 24", "connections = 2", "[database d] connections"},
		{"instances = 3", "instances = 0", "[database d] instances"},
		{"500ms", "soon", "[database d] stale"},
		{"500ms", "-1s", "[database d] stale"},
		{"open = yes", "open = maybe", "[database o] open"},
		{"rate = 10", "rate = 0", "[account a] rate"},
		{"rate = 10", "rate = NaN", "[account a] rate"},
		{"burst = 5", "burst = 0.5", "[account a] burst"},
		{"main, spare", "main, main", `[account a] keys names "main" twice`},
		{"main, spare", "a/b", `[account a] keys has the invalid name "a/b"`},
		{"keys = main, spare", "", "[account a] keys is missing"},
		{"databases = d", "databases = x", `[account a] databases names "x"`},
		{"databases = d", "databases = o", "[database d] has no account"},
		{"[account a]", "[account public]", "[account public] has a reserved name"},
		{"[account a]", "[account NAME]", "[account NAME] does not have a valid name"},
		{"[account a]", "[accounts a]", "[accounts a] is not known"},
		{"[account a]", "[database d]", "[database d] appears twice"},
		{"[site]\ntitle = Test", "", "[site] is missing"},
		{"[site]\n", "", "is outside of every section"},
	} {
		name := writeFile(t, strings.Replace(completed, c.old, c.text, 1))
		_, err := questionnaire.Read(name)
		require.ErrorContains(t, err, c.want)
		require.ErrorContains(t, err, name)
		require.NotEmpty(t, errors.GetAllHints(err), c.want)
	}
	_, err = questionnaire.Read("missing.ini")
	require.NotEmpty(t, errors.GetAllHints(err))
}

// Guards against an amendment that changes the keys of callers whose accounts it does not change.
func TestAmendmentKeepsKeys(t *testing.T) {
	q, err := questionnaire.Read(writeFile(t, completed))
	require.NoError(t, err)
	before, _, err := q.Generate(rand.Reader, nil)
	require.NoError(t, err)
	q.Retired = []string{"old"}
	q.Accounts[0].Keys = []string{"main", "new"}
	after, secrets, err := q.Generate(rand.Reader, before)
	require.NoError(t, err)
	keys := after.GetAccounts()[0].GetKeys()
	require.Equal(t, before.GetAccounts()[0].GetKeys()[0].GetVerifier(), keys[0].GetVerifier())
	require.Len(t, keys, 2, "a key that is no longer named is withdrawn")
	require.Len(t, secrets, 1)
	require.Equal(t, "a/new", secrets[0].User)
	require.Equal(t, []string{"old"}, after.GetRetired())
}

// FuzzRead guards against a panic and against accepting a questionnaire whose generated configuration cannot be
// read back.
func FuzzRead(f *testing.F) {
	f.Add(completed)
	f.Add(questionnaire.Template())
	f.Fuzz(func(t *testing.T, text string) {
		q, err := questionnaire.Read(writeFile(t, text))
		if err != nil {
			return
		}
		c, _, err := q.Generate(rand.Reader, nil)
		require.NoError(t, err)
		var out bytes.Buffer
		require.NoError(t, configuration.Write(&out, c))
		_, err = configuration.Read(writeFile(t, out.String()))
		require.NoError(t, err)
	})
}
