// Package configuration reads and writes the configuration as an INI file:
//
//	[group enrollment]
//	members = 3
//	slots = 3
//	connections = 24
//
//	[account school-1]
//	rate = 100
//	burst = 50
//	weight = 1
//
//	[key school-1/main]
//	verifier = SCRAM-SHA-256$4096:...
//
//	[route enrollment]
//	group = enrollment
//	database = enrollment
//	accounts = school-1, school-2
//	age = 500ms
//	open = false
//	repeatable = false
//
//	[server enrollment-2]
//	retired = true
//
// Reading is strict: anything unknown is refused with an error that names the file, the section, the key and a
// remedy. The control VMs validate the values.
package configuration

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"fireflyrudder.example/fireflyrudder/internal/inifile"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// sectionKind describes one kind of section.
type sectionKind struct {
	keys []string
	read func(*reader, *section, *wire.Configuration) error
}

// sectionKinds are the kinds of sections that a file may have.
var sectionKinds = map[string]sectionKind{
	"account": {[]string{"rate", "burst", "weight"}, readAccount},
	"key":     {[]string{"verifier"}, readKey},
	"route":   {[]string{"group", "database", "open", "accounts", "age", "repeatable"}, readRoute},
	"group":   {[]string{"members", "slots", "connections"}, readGroup},
	"server":  {[]string{"retired"}, readServer},
}

// sectionOrder is the order in which sections are read and written: keys follow their accounts.
var sectionOrder = []string{"group", "account", "key", "route", "server"}

// reader carries the file name for error messages.
type reader struct{ file string }

// section is one section and its name without the kind.
type section struct {
	*ini.Section
	name string
}

// Read reads a configuration file. The lists of the returned configuration are sorted by name.
func Read(file string) (*wire.Configuration, error) {
	f, err := inifile.Load(file)
	if err != nil {
		return nil, errors.WithHint(errors.Wrapf(err, "configuration: %s", file), "name a readable INI file with sections such as [account NAME]")
	}
	r := &reader{file}
	sections, err := r.groupSections(f)
	if err != nil {
		return nil, err
	}
	c := &wire.Configuration{}
	for _, name := range sectionOrder {
		for _, s := range sections[name] {
			if err := sectionKinds[name].read(r, s, c); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(c.Accounts, func(a, b *wire.Account) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Routes, func(a, b *wire.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Groups, func(a, b *wire.Group) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(c.Retired)
	return c, nil
}

// groupSections groups the sections by kind and refuses those that are unknown or given twice.
func (r *reader) groupSections(f *ini.File) (map[string][]*section, error) {
	out := map[string][]*section{}
	seen := map[string]bool{}
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			if keys := s.KeyStrings(); len(keys) > 0 {
				return nil, r.refuse("", keys[0], "is outside of every section", "put it below a section such as [account NAME]")
			}
			continue
		}
		kindName, name, _ := strings.Cut(s.Name(), " ")
		k, known := sectionKinds[kindName]
		name = strings.TrimSpace(name)
		switch {
		case !known:
			return nil, r.refuse(s.Name(), "", "is not known", "use [account NAME], [key ACCOUNT/NAME], [route NAME], [group NAME] or [server NAME]")
		case name == "":
			return nil, r.refuse(s.Name(), "", "has no name", "write ["+kindName+" NAME]")
		case seen[kindName+" "+name]:
			return nil, r.refuse(s.Name(), "", "is given twice", "merge the two sections")
		}
		seen[kindName+" "+name] = true
		if err := r.checkKeys(s, k.keys); err != nil {
			return nil, err
		}
		out[kindName] = append(out[kindName], &section{s, name})
	}
	return out, nil
}

// checkKeys refuses keys that are unknown or given twice.
func (r *reader) checkKeys(s *ini.Section, known []string) error {
	for _, k := range s.Keys() {
		if !slices.Contains(known, k.Name()) {
			return r.refuse(s.Name(), k.Name(), "is not known", "use "+strings.Join(known, ", "))
		}
		if len(k.ValueWithShadows()) > 1 {
			return r.refuse(s.Name(), k.Name(), "is given twice", "keep one of the two lines")
		}
	}
	return nil
}

// refuse returns an error that names the location, with the remedy as its hint.
func (r *reader) refuse(section, key, problem, remedy string) error {
	where := r.file
	if section != "" {
		where += ": [" + section + "]"
	}
	if key != "" {
		where += " " + key
	}
	return errors.WithHint(errors.Newf("configuration: %s %s", where, problem), remedy)
}

// Edits returns the edits that put everything in c. The keys of an account replace its current keys; an account
// without keys keeps them. Anything that c does not contain is left unchanged.
func Edits(c *wire.Configuration) []*wire.Edit {
	var out []*wire.Edit
	for _, g := range c.GetGroups() {
		out = append(out, &wire.Edit{Edit: &wire.Edit_PutGroup{PutGroup: g}})
	}
	for _, a := range c.GetAccounts() {
		out = append(out, &wire.Edit{Edit: &wire.Edit_PutAccount{PutAccount: a}})
	}
	for _, r := range c.GetRoutes() {
		out = append(out, &wire.Edit{Edit: &wire.Edit_PutRoute{PutRoute: r}})
	}
	for _, server := range c.GetRetired() {
		out = append(out, &wire.Edit{Edit: &wire.Edit_RetireServer{RetireServer: server}})
	}
	return out
}

// Prune returns the edits that drop everything in current that wanted does not contain, and that restore
// servers which are no longer retired.
func Prune(current, wanted *wire.Configuration) []*wire.Edit {
	var out []*wire.Edit
	for _, name := range missingNames(current.GetRoutes(), wanted.GetRoutes(), (*wire.Route).GetName) {
		out = append(out, &wire.Edit{Edit: &wire.Edit_DropRoute{DropRoute: name}})
	}
	for _, name := range missingNames(current.GetAccounts(), wanted.GetAccounts(), (*wire.Account).GetName) {
		out = append(out, &wire.Edit{Edit: &wire.Edit_DropAccount{DropAccount: name}})
	}
	for _, name := range missingNames(current.GetGroups(), wanted.GetGroups(), (*wire.Group).GetName) {
		out = append(out, &wire.Edit{Edit: &wire.Edit_DropGroup{DropGroup: name}})
	}
	for _, name := range missingNames(current.GetRetired(), wanted.GetRetired(), strings.Clone) {
		out = append(out, &wire.Edit{Edit: &wire.Edit_RestoreServer{RestoreServer: name}})
	}
	return out
}

// missingNames returns the names in current that wanted lacks.
func missingNames[T any](current, wanted []T, name func(T) string) []string {
	var out []string
	for _, p := range current {
		if !slices.ContainsFunc(wanted, func(w T) bool { return name(w) == name(p) }) {
			out = append(out, name(p))
		}
	}
	return out
}
