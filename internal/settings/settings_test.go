package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/settings"
)

// parse reads an INI file and a command line as the command does.
func parse(t *testing.T, ini string, args ...string) (settings.Node, error) {
	t.Helper()
	var node settings.Node
	parser := flags.NewParser(nil, flags.HelpFlag)
	_, err := parser.AddGroup("node", "", &node)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "site.ini")
	require.NoError(t, os.WriteFile(file, []byte(ini), 0o600))
	if err := settings.Read(parser, file); err != nil {
		return node, err
	}
	_, err = parser.ParseArgs(args)
	return node, err
}

// Guards against a file that overrides an environment variable or a flag.
func TestPrecedence(t *testing.T) {
	ini := "[node]\nname = from-file\nzone = zone-file\n"
	node, err := parse(t, ini)
	require.NoError(t, err)
	require.Equal(t, "from-file", node.Name)
	t.Setenv("FIREFLYRUDDER_NODE_NAME", "from-environment")
	node, err = parse(t, ini)
	require.NoError(t, err)
	require.Equal(t, "from-environment", node.Name)
	require.Equal(t, "zone-file", node.Zone)
	node, err = parse(t, ini, "--name", "from-flag")
	require.NoError(t, err)
	require.Equal(t, "from-flag", node.Name)
}

// Guards against settings that are silently ignored and against errors that do not name the location.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct{ ini, want string }{
		"unknown key":     {"[node]\nzome = x\n", "section [node], key zome"},
		"unknown section": {"[nodes]\nname = x\n", "site.ini"},
		"no value":        {"[node]\nname\n", "section [node], key name"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parse(t, c.ini)
			require.ErrorContains(t, err, c.want)
			require.NotEmpty(t, errors.GetAllHints(err))
		})
	}
}

// Guards against accepting settings with which a process cannot run.
func TestChecks(t *testing.T) {
	require.Error(t, (&settings.Node{Name: "a"}).Check())
	require.Error(t, (&settings.Console{Listen: "localhost:80"}).Check(), "the platform does not resolve host names")
	require.NoError(t, (&settings.Console{}).Check())
	require.Error(t, (&settings.TLS{Certificate: "a.pem"}).Check())
	require.Error(t, (&settings.Control{Listen: "127.0.0.1:1", Announce: "127.0.0.1:2"}).Check())
	require.Error(t, (&settings.Control{Data: "data", Listen: "127.0.0.1:1", Announce: "127.0.0.1:2", Voters: 4}).Check())
	require.NoError(t, (&settings.Control{Data: "data", Listen: "127.0.0.1:1", Announce: "127.0.0.1:2", Voters: 5}).Check())
	require.Error(t, (&settings.Entry{Listen: "127.0.0.1:1"}).Check())
	require.Error(t, (&settings.Standin{Listen: "127.0.0.1:1", Slots: 0, Connections: 1}).Check())
}

// Guards against a trailing line break that becomes part of the password.
func TestReadPassword(t *testing.T) {
	file := filepath.Join(t.TempDir(), "password")
	require.NoError(t, os.WriteFile(file, []byte("secret\r\n"), 0o600))
	password, err := (&settings.ServerCredentials{Password: file}).ReadPassword()
	require.NoError(t, err)
	require.Equal(t, "secret", password)
	_, err = (&settings.ServerCredentials{Password: file + ".missing"}).ReadPassword()
	require.Error(t, err)
}
