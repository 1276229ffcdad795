package load

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Bounds of every run, so that a mistyped workload does not exhaust the machine.
const (
	maxDuration    = 10 * time.Minute
	maxRequests    = 500_000
	maxConnections = 400
)

// Workload describes a run.
type Workload struct {
	Name         string
	Duration     time.Duration
	Seed         uint64
	MaxRequests  int           // upper bound on the requests of a run
	Deadline     time.Duration // of a request, from the time at which it was due
	RoamInterval time.Duration // mean time after which a session reconnects to another address; zero means never
	TokenShare   float64       // share of reconnections that send the session token
	RequestIDs   bool          // writes carry a request id and are resent after an unknown outcome
	Accounts     []Account
}

// Account describes one client account and the load that it sends.
type Account struct {
	Name       string
	User       string // user name in the startup packet
	Password   string
	Routes     []string        // database names; sessions are spread over them
	Rate       float64         // contracted statements per second
	Burst      float64         // contracted burst in statements
	SendFactor float64         // statements sent, as a multiple of Rate
	WriteShare float64         // share of writes
	MaxAges    []time.Duration // maximum age of the data that reads accept; sessions are spread over them
	Sessions   int             // one connection each
}

// ExceedsRate reports whether the account sends more than its rate.
func (a *Account) ExceedsRate() bool {
	return a.SendFactor > 1
}

// Keys of the INI file.
var (
	workloadKeys = []string{"name", "duration", "seed", "limit", "deadline", "roam", "tokens", "requests"}
	accountKeys  = []string{"user", "password", "password-file", "routes", "rate", "burst", "send", "writes", "ages", "sessions"}
)

// accountPrefix begins the name of an account's section.
const accountPrefix = "account "

// Read reads a workload file and checks it.
func Read(file string) (*Workload, error) {
	f, err := ini.LoadSources(ini.LoadOptions{}, file)
	if err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "load: workload"), "name an INI file such as examples/cascadia/workload.ini")
	}
	r := &iniReader{}
	w := r.workload(f)
	for _, s := range f.Sections() {
		switch {
		case s.Name() == "workload", s.Name() == ini.DefaultSection && len(s.Keys()) == 0:
		case strings.HasPrefix(s.Name(), accountPrefix):
			w.Accounts = append(w.Accounts, r.account(s))
		default:
			r.fail(s, "", "is unknown", "use [workload] and [account NAME]")
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	return w, w.Check()
}

// Check returns an error that names the remedy if a value is out of bounds.
func (w *Workload) Check() error {
	connections := 0
	for _, a := range w.Accounts {
		connections += a.Sessions
		if a.Rate <= 0 || a.Burst < costTransaction || a.SendFactor <= 0 || a.WriteShare < 0 || a.WriteShare > 1 || a.Sessions < 1 || len(a.Routes) == 0 || len(a.MaxAges) == 0 {
			return invalid("[account "+a.Name+"]", "give rate and send above 0, a burst of at least 3, writes from 0 to 1, at least one session, route and age")
		}
	}
	switch {
	case len(w.Accounts) == 0:
		return invalid("workload without accounts", "add a section [account NAME]")
	case w.Duration <= 0 || w.Duration > maxDuration:
		return invalid("duration", "give a duration up to "+maxDuration.String())
	case w.MaxRequests < 1 || w.MaxRequests > maxRequests:
		return invalid("limit", "give from 1 to 500000 requests")
	case connections > maxConnections:
		return invalid("sessions", "give at most 400 sessions over all accounts")
	case w.Deadline <= 0 || w.TokenShare < 0 || w.TokenShare > 1 || w.RoamInterval < 0:
		return invalid("deadline, tokens or roam", "give a positive deadline, tokens from 0 to 1 and a roam time of at least 0s")
	}
	return nil
}

func invalid(what, remedy string) error {
	return errors.WithHint(errors.Newf("load: %s is not valid", what), remedy)
}

// iniReader keeps the first error of an INI file.
type iniReader struct {
	err error
}

func (r *iniReader) fail(s *ini.Section, key, problem, remedy string) {
	if r.err == nil {
		r.err = errors.WithHint(errors.Newf("load: [%s] %s %s", s.Name(), key, problem), remedy)
	}
}

func (r *iniReader) checkKeys(s *ini.Section, keys []string) {
	for _, k := range s.KeyStrings() {
		if !slices.Contains(keys, k) {
			r.fail(s, k, "is unknown", "use one of "+strings.Join(keys, ", "))
		}
	}
}

// value parses a key, or returns fallback if the key is absent.
func value[T any](r *iniReader, s *ini.Section, key string, fallback T, parse func(*ini.Key) (T, error), remedy string) T {
	if !s.HasKey(key) {
		return fallback
	}
	v, err := parse(s.Key(key))
	if err != nil {
		r.fail(s, key, "is malformed: "+err.Error(), remedy)
	}
	return v
}

func (r *iniReader) workload(f *ini.File) *Workload {
	s := f.Section("workload")
	r.checkKeys(s, workloadKeys)
	return &Workload{
		Name:         s.Key("name").MustString("workload"),
		Duration:     value(r, s, "duration", 10*time.Second, (*ini.Key).Duration, "give a duration such as 30s"),
		Seed:         value(r, s, "seed", 1, (*ini.Key).Uint64, "give a whole number"),
		MaxRequests:  value(r, s, "limit", 100_000, (*ini.Key).Int, "give a whole number"),
		Deadline:     value(r, s, "deadline", 10*time.Second, (*ini.Key).Duration, "give a duration such as 10s"),
		RoamInterval: value(r, s, "roam", 0, (*ini.Key).Duration, "give a duration such as 5s"),
		TokenShare:   value(r, s, "tokens", 0.5, (*ini.Key).Float64, "give a share such as 0.5"),
		RequestIDs:   value(r, s, "requests", false, (*ini.Key).Bool, "give true or false"),
	}
}

func (r *iniReader) account(s *ini.Section) Account {
	r.checkKeys(s, accountKeys)
	name := strings.TrimSpace(strings.TrimPrefix(s.Name(), accountPrefix))
	a := Account{
		Name:       name,
		User:       s.Key("user").MustString(name),
		Password:   s.Key("password").String(),
		Routes:     list(s.Key("routes")),
		Rate:       value(r, s, "rate", 10, (*ini.Key).Float64, "give statements per second"),
		Burst:      value(r, s, "burst", 0, (*ini.Key).Float64, "give statements, such as twice the rate"),
		SendFactor: value(r, s, "send", 1, (*ini.Key).Float64, "give a multiple of the rate, such as 5"),
		WriteShare: value(r, s, "writes", 0.2, (*ini.Key).Float64, "give a share such as 0.2"),
		Sessions:   value(r, s, "sessions", 4, (*ini.Key).Int, "give a whole number"),
	}
	if file := s.Key("password-file").String(); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			r.fail(s, "password-file", err.Error(), "name a file that this process can read")
		}
		a.Password = strings.TrimRight(string(text), "\r\n")
	}
	for _, text := range list(s.Key("ages")) {
		age, err := time.ParseDuration(text)
		if err != nil || age < 0 {
			r.fail(s, "ages", "is malformed", "give durations such as 0s,2s")
		}
		a.MaxAges = append(a.MaxAges, age)
	}
	if !s.HasKey("burst") {
		a.Burst = 2 * a.Rate
	}
	if len(a.MaxAges) == 0 {
		a.MaxAges = []time.Duration{0}
	}
	return a
}

func list(k *ini.Key) []string {
	return k.Strings(",")
}
