package configuration

import (
	"math"
	"strconv"
	"strings"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// maxAge bounds the age of a route, which is the default for the age of the data that its reads accept. The
// configuration stores it in milliseconds.
const maxAge = 24 * time.Hour

func readGroup(r *reader, s *section, c *wire.Configuration) error {
	g := &wire.Group{Name: s.name}
	for key, field := range map[string]*uint32{"members": &g.Members, "slots": &g.Slots, "connections": &g.Connections} {
		if err := r.count(s, key, true, field); err != nil {
			return err
		}
	}
	c.Groups = append(c.Groups, g)
	return nil
}

func readServer(r *reader, s *section, c *wire.Configuration) error {
	retired := false
	if err := r.flag(s, "retired", &retired); err != nil {
		return err
	}
	if retired {
		c.Retired = append(c.Retired, s.name)
	}
	return nil
}

func readAccount(r *reader, s *section, c *wire.Configuration) error {
	a := &wire.Account{Name: s.name, Weight: 1}
	if err := r.number(s, "rate", &a.Rate); err != nil {
		return err
	}
	if err := r.number(s, "burst", &a.Burst); err != nil {
		return err
	}
	if err := r.count(s, "weight", false, &a.Weight); err != nil {
		return err
	}
	c.Accounts = append(c.Accounts, a)
	return nil
}

func readKey(r *reader, s *section, c *wire.Configuration) error {
	account, name, ok := strings.Cut(s.name, "/")
	if !ok || account == "" || name == "" {
		return r.refuse(s.Name(), "", "does not name an account and a key", "write [key ACCOUNT/NAME]")
	}
	verifier, err := r.text(s, "verifier")
	if err != nil {
		return err
	}
	for _, a := range c.Accounts {
		if a.Name == account {
			a.Keys = append(a.Keys, &wire.Key{Name: name, Verifier: verifier})
			return nil
		}
	}
	return r.refuse(s.Name(), "", "names an account that the file does not have",
		"add [account "+account+"], or add the single key with: fireflyrudder apply --put-key ACCOUNT/NAME=VERIFIER")
}

func readRoute(r *reader, s *section, c *wire.Configuration) error {
	w := &wire.Route{Name: s.name}
	var err error
	if w.Group, err = r.text(s, "group"); err != nil {
		return err
	}
	if w.Database, err = r.text(s, "database"); err != nil {
		return err
	}
	if err := r.flag(s, "open", &w.Open); err != nil {
		return err
	}
	if err := r.flag(s, "repeatable", &w.Repeatable); err != nil {
		return err
	}
	if w.Age, err = r.age(s); err != nil {
		return err
	}
	for part := range strings.SplitSeq(s.raw("accounts"), ",") {
		if name := strings.TrimSpace(part); name != "" {
			w.Accounts = append(w.Accounts, name)
		}
	}
	c.Routes = append(c.Routes, w)
	return nil
}

// raw returns a value as written, or "" if the key is missing. It checks for the key first because Section.Key
// adds a missing key to the section.
func (s *section) raw(key string) string {
	if !s.HasKey(key) {
		return ""
	}
	return s.Key(key).Value()
}

// text reads a required value.
func (r *reader) text(s *section, key string) (string, error) {
	value := strings.TrimSpace(s.raw(key))
	if value == "" {
		return "", r.refuse(s.Name(), key, "is missing", "add a line "+key+" = ...")
	}
	return value, nil
}

// number reads a required positive number.
func (r *reader) number(s *section, key string, field *float64) error {
	value, err := r.text(s, key)
	if err != nil {
		return err
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n > 0) || math.IsInf(n, 0) {
		return r.refuse(s.Name(), key, "is "+strconv.Quote(value), "give a number above 0, such as 100")
	}
	*field = n
	return nil
}

// count reads an integer of at least 1. If the key is optional and missing, the field keeps its default.
func (r *reader) count(s *section, key string, required bool, field *uint32) error {
	if !required && !s.HasKey(key) {
		return nil
	}
	value, err := r.text(s, key)
	if err != nil {
		return err
	}
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 {
		return r.refuse(s.Name(), key, "is "+strconv.Quote(value), "give a whole number of at least 1, such as 3")
	}
	*field = uint32(n)
	return nil
}

// flag reads true or false; the default is false.
func (r *reader) flag(s *section, key string, field *bool) error {
	if !s.HasKey(key) {
		return nil
	}
	switch value := s.raw(key); value {
	case "false":
	case "true":
		*field = true
	default:
		return r.refuse(s.Name(), key, "is "+strconv.Quote(value), "give true or false")
	}
	return nil
}

// age reads the age of a route and returns it in milliseconds. If it is missing, reads require current data and
// the result is 0.
func (r *reader) age(s *section) (int64, error) {
	if !s.HasKey("age") {
		return 0, nil
	}
	value := s.raw("age")
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 || d > maxAge || d%time.Millisecond != 0 {
		return 0, r.refuse(s.Name(), "age", "is "+strconv.Quote(value), "give whole milliseconds up to 24h, such as 500ms, or 0s for current data")
	}
	return d.Milliseconds(), nil
}
