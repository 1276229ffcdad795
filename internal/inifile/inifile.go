// Package inifile loads INI files in which sections and keys may occur more than once, as configurations and
// questionnaires are written.
package inifile

import "gopkg.in/ini.v1"

// Load reads a file. Values keep "#", ";" and a "\" at the end of a line, and only "=" separates them from keys.
func Load(file string) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true,
		AllowShadows:           true,
		IgnoreContinuation:     true,
		IgnoreInlineComment:    true,
		KeyValueDelimiters:     "=",
	}, file)
}
