package settings

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Read applies an INI file to the options of parser. Environment variables and flags override the file. Read
// refuses unknown sections, unknown keys and malformed values with an error that names the file, the section,
// the key and a remedy.
func Read(parser *flags.Parser, file string) error {
	if err := applyEnvironment(parser.Command); err != nil {
		return err
	}
	ini := flags.NewIniParser(parser)
	ini.ParseAsDefaults = true
	err := ini.ParseFile(file)
	if err == nil {
		return nil
	}
	err = errors.Wrapf(err, "settings: file %s%s", file, location(err, file))
	return errors.WithHint(err, "see the sections and keys with: fireflyrudder <command> --help")
}

// applyEnvironment sets the options of command and its subcommands from those environment variables that are
// set. go-flags itself reads the environment only for options that no file has set, so the file would override
// the environment.
func applyEnvironment(command *flags.Command) error {
	for _, group := range command.Groups() {
		if err := applyVariables(group); err != nil {
			return err
		}
	}
	for _, sub := range command.Commands() {
		if err := applyEnvironment(sub); err != nil {
			return err
		}
	}
	return applyVariables(command.Group)
}

// applyVariables sets the options of group and its subgroups from environment variables.
func applyVariables(group *flags.Group) error {
	for _, option := range group.Options() {
		value, ok := os.LookupEnv(option.EnvKeyWithNamespace())
		if !ok || option.EnvKeyWithNamespace() == "" {
			continue
		}
		values := []string{value}
		if option.EnvDefaultDelim != "" {
			values = strings.Split(value, option.EnvDefaultDelim)
		}
		for _, v := range values {
			if err := option.Set(&v); err != nil {
				err = errors.Wrapf(err, "settings: environment variable %s", option.EnvKeyWithNamespace())
				return errors.WithHint(err, "correct or unset the variable")
			}
		}
	}
	for _, sub := range group.Groups() {
		if err := applyVariables(sub); err != nil {
			return err
		}
	}
	return nil
}

// location returns the section and the key of the line that caused the error, or "" if it is unknown.
func location(err error, file string) string {
	var iniErr *flags.IniError
	if !errors.As(err, &iniErr) {
		return ""
	}
	text, readErr := os.ReadFile(file)
	lines := strings.Split(string(text), "\n")
	if readErr != nil || iniErr.LineNumber == 0 || int(iniErr.LineNumber) > len(lines) {
		return ""
	}
	lines = lines[:iniErr.LineNumber]
	key, _, _ := strings.Cut(lines[len(lines)-1], "=")
	section := ""
	for _, line := range lines {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = line
		}
	}
	return ", section " + section + ", key " + strings.TrimSpace(key)
}
