package main_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a generated configuration that apply refuses, against overwriting an existing file of keys,
// and against an invalid questionnaire that is reported without its exit code or a remedy.
func TestQuestionnaireCommands(t *testing.T) {
	folder := t.TempDir()
	blank, keys, output := filepath.Join(folder, "blank.ini"), filepath.Join(folder, "keys"), filepath.Join(folder, "c.ini")
	code, text, _ := execute(t, "questionnaire", "blank")
	require.Zero(t, code)
	require.NoError(t, os.WriteFile(blank, []byte(text), 0o600))
	code, _, errOut := execute(t, "questionnaire", "check", "--file", blank)
	require.Equal(t, 2, code)
	require.Contains(t, errOut, "remedy:")

	example := filepath.Join("..", "..", "examples", "cascadia", "questionnaire.ini")
	code, text, errOut = execute(t, "questionnaire", "check", "--file", example)
	require.Zero(t, code, errOut)
	require.Contains(t, text, "Adult Art Class Registration Pooling Setup")
	generate := []string{"questionnaire", "generate", "--file", example, "--keys", keys, "--output", output}
	code, _, errOut = execute(t, generate...)
	require.Zero(t, code, errOut)
	code, _, errOut = execute(t, "apply", "--check", "--file", output)
	require.Zero(t, code, errOut)
	before, err := os.ReadFile(keys)
	require.NoError(t, err)
	code, _, _ = execute(t, generate...)
	require.Equal(t, 1, code)
	after, err := os.ReadFile(keys)
	require.NoError(t, err)
	require.Equal(t, before, after)
}
