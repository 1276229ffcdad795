package questionnaire

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"fireflyrudder.example/fireflyrudder/internal/inifile"
)

const (
	minConnections      = 3 // two control connections and a status connection
	maxInstances        = 9
	maxCount            = 1_000_000
	maxAllowedStaleness = 24 * time.Hour
)

// validName matches names that can be used in a startup packet. A slash is excluded because it separates the
// account from the key.
var validName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

// sectionKeys lists the keys of each kind of section.
var sectionKeys = map[string][]string{
	"site":     {"title", "retired"},
	"database": {"database", "instances", "slots", "connections", "stale", "open", "repeatable"},
	"account":  {"rate", "burst", "weight", "keys", "databases"},
}

// reader records the first error, so that reading a field needs no error handling of its own.
type reader struct {
	file    string
	section *ini.Section
	err     error
}

// Read reads and validates a questionnaire.
func Read(file string) (*Questionnaire, error) {
	f, err := inifile.Load(file)
	if err != nil {
		return nil, errors.WithHint(errors.Wrapf(err, "questionnaire: %s", file),
			"name a readable INI file; see a blank one with: fireflyrudder questionnaire blank")
	}
	q := &Questionnaire{}
	r := &reader{file: file}
	seen := map[string]bool{}
	for _, s := range f.Sections() {
		r.section = s
		if s.Name() == ini.DefaultSection {
			if keys := s.KeyStrings(); len(keys) > 0 {
				r.refuse(keys[0], "is outside of every section", "put it below a section such as [site]")
				return nil, r.err
			}
			continue
		}
		if seen[s.Name()] {
			r.refuse("", "appears twice", "merge the sections")
		}
		seen[s.Name()] = true
		r.readSection(q)
		if r.err != nil {
			return nil, r.err
		}
	}
	slices.SortFunc(q.Databases, func(a, b Database) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(q.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return q, r.check(q, seen)
}

// refuse records an error with its location and remedy, unless an error is already recorded.
func (r *reader) refuse(key, problem, remedy string) {
	if r.err != nil {
		return
	}
	place := fmt.Sprintf("questionnaire: %s: [%s]", r.file, r.section.Name())
	if key != "" {
		place += " " + key
	}
	r.err = errors.WithHint(errors.Newf("%s %s", place, problem), remedy)
}

// readSection reads the current section into q.
func (r *reader) readSection(q *Questionnaire) {
	kind, name, _ := strings.Cut(r.section.Name(), " ")
	name = strings.TrimSpace(name)
	keys, ok := sectionKeys[kind]
	if !ok || (kind == "site") != (name == "") {
		r.refuse("", "is not known", "use [site], [database NAME] or [account NAME]")
		return
	}
	if name != "" && (!validName.MatchString(name) || name == "NAME") {
		r.refuse("", "does not have a valid name", "write 1 to 63 letters, digits, '-', '_' or '.' in place of NAME")
	}
	for _, k := range r.section.Keys() {
		if !slices.Contains(keys, k.Name()) {
			r.refuse(k.Name(), "is not known", "use "+strings.Join(keys, ", "))
		}
		if len(k.ValueWithShadows()) > 1 {
			r.refuse(k.Name(), "is given twice", "give it once")
		}
	}
	switch kind {
	case "site":
		q.Title = r.text("title", "give a title for people")
		q.Retired = r.names("retired")
	case "database":
		q.Databases = append(q.Databases, Database{
			Name:         name,
			Database:     r.text("database", "give the name of the database on the backend servers"),
			Instances:    r.count("instances", "", 1, maxInstances),
			Slots:        r.count("slots", "", 1, maxCount),
			Connections:  r.count("connections", "", minConnections, maxCount),
			MaxStaleness: r.maxStaleness(),
			Open:         r.flag("open"),
			Repeatable:   r.flag("repeatable"),
		})
	case "account":
		if name == "public" {
			r.refuse("", "has a reserved name", "choose another name; public is the user of open databases")
		}
		q.Accounts = append(q.Accounts, Account{
			Name:      name,
			Rate:      r.number("rate", 0),
			Burst:     r.number("burst", 1),
			Weight:    r.count("weight", "1", 1, maxCount),
			Keys:      r.names("keys"),
			Databases: r.names("databases"),
		})
		if a := q.Accounts[len(q.Accounts)-1]; len(a.Keys) == 0 {
			r.refuse("keys", "is missing", "name at least one key, such as main")
		}
	}
}

// value returns the value of a key without surrounding spaces, or "" if the key is missing.
func (r *reader) value(key string) string {
	if !r.section.HasKey(key) {
		return ""
	}
	return strings.TrimSpace(r.section.Key(key).Value())
}

func (r *reader) text(key, remedy string) string {
	v := r.value(key)
	if v == "" {
		r.refuse(key, "is missing", remedy)
	}
	return v
}

func (r *reader) count(key, defaultValue string, minimum, maximum int) int {
	v := cmp.Or(r.value(key), defaultValue)
	n, err := strconv.Atoi(v)
	if err != nil || n < minimum || n > maximum {
		r.refuse(key, fmt.Sprintf("is %q", v), fmt.Sprintf("give a whole number from %d to %d", minimum, maximum))
	}
	return n
}

func (r *reader) number(key string, minimum float64) float64 {
	v := r.value(key)
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n <= 0 || n < minimum {
		r.refuse(key, fmt.Sprintf("is %q", v), fmt.Sprintf("give a number above 0 and of at least %v", minimum))
	}
	return n
}

func (r *reader) maxStaleness() time.Duration {
	v := r.value("stale")
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || d > maxAllowedStaleness || d != d.Truncate(time.Millisecond) {
		r.refuse("stale", fmt.Sprintf("is %q", v), "give a duration in whole milliseconds up to 24h, such as 2s or 0s")
	}
	return d
}

func (r *reader) flag(key string) bool {
	switch v := r.value(key); v {
	case "yes":
		return true
	case "no", "":
	default:
		r.refuse(key, fmt.Sprintf("is %q", v), "write yes or no")
	}
	return false
}

func (r *reader) names(key string) []string {
	var names []string
	for part := range strings.SplitSeq(r.value(key), ",") {
		name := strings.TrimSpace(part)
		switch {
		case name == "":
		case !validName.MatchString(name):
			r.refuse(key, fmt.Sprintf("has the invalid name %q", name), "use 1 to 63 letters, digits, '-', '_' or '.'")
		case slices.Contains(names, name):
			r.refuse(key, fmt.Sprintf("names %q twice", name), "name it once")
		default:
			names = append(names, name)
		}
	}
	return names
}

// check returns an error if a section is missing or sections are inconsistent with each other.
func (r *reader) check(q *Questionnaire, seen map[string]bool) error {
	refusal := func(place, problem, remedy string) error {
		return errors.WithHint(errors.Newf("questionnaire: %s: %s %s", r.file, place, problem), remedy)
	}
	switch {
	case !seen["site"]:
		return refusal("[site]", "is missing", "add [site] with a title")
	case len(q.Databases) == 0:
		return refusal("[database NAME]", "is missing", "add a section for each database group")
	}
	used := false
	for _, d := range q.Databases {
		used = used || !d.Open
	}
	if used && len(q.Accounts) == 0 {
		return refusal("[account NAME]", "is missing", "add a section for each client account, or open all databases")
	}
	for _, a := range q.Accounts {
		for _, name := range a.Databases {
			if !slices.ContainsFunc(q.Databases, func(d Database) bool { return d.Name == name }) {
				return refusal("[account "+a.Name+"] databases", fmt.Sprintf("names %q, which has no section", name),
					"add [database "+name+"] or take the name off")
			}
		}
	}
	for _, d := range q.Databases {
		if !d.Open && len(q.allowedAccounts(d.Name)) == 0 {
			return refusal("[database "+d.Name+"]", "has no account that may use it", "name it in databases of an account, or open it")
		}
	}
	return nil
}
