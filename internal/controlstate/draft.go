package controlstate

import (
	"encoding/base64"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	// maxNameLength is the maximum length of a name. PostgreSQL truncates longer identifiers.
	maxNameLength = 63
	// minIterations is the minimum SCRAM iteration count that RFC 7677 recommends.
	minIterations = 4096
	// digestSize is the size of a SHA-256 key in a verifier, in bytes.
	digestSize = 32
	// minConnections covers two control connections and the status connection of one entry VM.
	minConnections = 3
	// PublicAccount is the user name of callers without a key, so no account may have this name.
	PublicAccount = "public"
)

// draft is the configuration that would result from a change.
type draft struct {
	state          *State
	next           *wire.Configuration
	edits          []acceptedEdit
	trusted        bool // the edits are of an accepted version and are not checked again
	checkAllRoutes bool // an account or group was dropped, so all routes are checked and not only the changed ones
	changedRoutes  []string
}

func newDraft(s *State) *draft {
	c := s.configuration
	return &draft{state: s, next: &wire.Configuration{
		Idle:     c.GetIdle(),
		Accounts: c.GetAccounts(),
		Routes:   c.GetRoutes(),
		Groups:   c.GetGroups(),
		Retired:  c.GetRetired(),
	}}
}

// apply applies one edit. It returns what is wrong with the edit and the remedy, or "" if the edit is valid.
func (d *draft) apply(e *wire.Edit) string {
	r := acceptedEdit{edit: e}
	problem := ""
	switch e := e.GetEdit().(type) {
	case *wire.Edit_PutAccount:
		problem = d.putAccount(e.PutAccount)
	case *wire.Edit_DropAccount:
		problem = d.dropAccount(e.DropAccount)
	case *wire.Edit_PutKey:
		problem = d.putKey(e.PutKey)
	case *wire.Edit_WithdrawKey:
		problem = d.withdrawKey(e.WithdrawKey)
	case *wire.Edit_PutRoute:
		r.group = e.PutRoute.GetGroup()
		r.oldGroup = d.groupOfRoute(e.PutRoute.GetName())
		problem = d.putRoute(e.PutRoute)
	case *wire.Edit_DropRoute:
		r.group = d.groupOfRoute(e.DropRoute)
		problem = d.dropRoute(e.DropRoute)
	case *wire.Edit_PutGroup:
		r.group = e.PutGroup.GetName()
		problem = d.putGroup(e.PutGroup)
	case *wire.Edit_DropGroup:
		r.group = e.DropGroup
		problem = d.dropGroup(e.DropGroup)
	case *wire.Edit_RetireServer:
		problem = d.retire(e.RetireServer)
	case *wire.Edit_RestoreServer:
		problem = d.restore(e.RestoreServer)
	default:
		problem = "it is empty or of a kind that this version does not know; upgrade the control VMs first"
	}
	d.edits = append(d.edits, r)
	return problem
}

// groupOfRoute returns the group that a route names, or "" if the route does not exist.
func (d *draft) groupOfRoute(route string) string {
	r, _ := getNamed(d.next.GetRoutes(), route, (*wire.Route).GetName)
	return r.GetGroup()
}

func (d *draft) putAccount(a *wire.Account) string {
	if problem := d.checkAccount(a); problem != "" {
		return problem
	}
	if old, ok := d.account(a.GetName()); ok && len(a.GetKeys()) == 0 {
		a = withKeys(a, old.GetKeys())
	}
	d.next.Accounts = putNamed(d.next.GetAccounts(), a, (*wire.Account).GetName)
	return ""
}

func (d *draft) checkAccount(a *wire.Account) string {
	name := a.GetName()
	switch {
	case d.trusted:
		return ""
	case isInvalidName(name):
		return invalidNameProblem("account", name)
	case name == PublicAccount:
		return fmt.Sprintf("account name %q is reserved for open routes; choose another", name)
	case !isPositive(a.GetRate()):
		return fmt.Sprintf("account %q has rate %v; give statements per second above 0", name, a.GetRate())
	case !isPositive(a.GetBurst()) || a.GetBurst() < 1:
		return fmt.Sprintf("account %q has burst %v; give at least 1 statement", name, a.GetBurst())
	}
	for i, k := range a.GetKeys() {
		if problem := checkKey(k); problem != "" {
			return problem
		}
		if slices.ContainsFunc(a.GetKeys()[:i], func(o *wire.Key) bool { return o.GetName() == k.GetName() }) {
			return fmt.Sprintf("account %q has two keys named %q; rename one", name, k.GetName())
		}
	}
	return ""
}

func (d *draft) account(name string) (*wire.Account, bool) {
	return getNamed(d.next.GetAccounts(), name, (*wire.Account).GetName)
}

// withKeys returns a copy of the account with other keys.
func withKeys(a *wire.Account, keys []*wire.Key) *wire.Account {
	return &wire.Account{Name: a.GetName(), Rate: a.GetRate(), Burst: a.GetBurst(), Weight: a.GetWeight(), Keys: keys}
}

func (d *draft) dropAccount(name string) string {
	if _, ok := d.account(name); !ok {
		return unknownProblem("account", name)
	}
	d.next.Accounts = removeNamed(d.next.GetAccounts(), name, (*wire.Account).GetName)
	d.checkAllRoutes = true
	return ""
}

func (d *draft) putKey(k *wire.KeyEdit) string {
	a, ok := d.account(k.GetAccount())
	if !ok {
		return unknownProblem("account", k.GetAccount())
	}
	if problem := checkKey(k.GetKey()); problem != "" {
		return problem
	}
	name := k.GetKey().GetName()
	if slices.ContainsFunc(a.GetKeys(), func(o *wire.Key) bool { return o.GetName() == name }) {
		return fmt.Sprintf("account %q already has a key named %q; withdraw it first or choose another name", a.GetName(), name)
	}
	keys := append(slices.Clip(a.GetKeys()), k.GetKey())
	d.next.Accounts = putNamed(d.next.GetAccounts(), withKeys(a, keys), (*wire.Account).GetName)
	return ""
}

func (d *draft) withdrawKey(k *wire.KeyName) string {
	a, ok := d.account(k.GetAccount())
	if !ok {
		return unknownProblem("account", k.GetAccount())
	}
	i := slices.IndexFunc(a.GetKeys(), func(o *wire.Key) bool { return o.GetName() == k.GetKey() })
	if i < 0 {
		return fmt.Sprintf("account %q has no key named %q; list its keys with status", a.GetName(), k.GetKey())
	}
	keys := slices.Delete(slices.Clone(a.GetKeys()), i, i+1)
	d.next.Accounts = putNamed(d.next.GetAccounts(), withKeys(a, keys), (*wire.Account).GetName)
	return ""
}

func (d *draft) putRoute(r *wire.Route) string {
	if problem := d.checkRoute(r); problem != "" {
		return problem
	}
	d.next.Routes = putNamed(d.next.GetRoutes(), r, (*wire.Route).GetName)
	d.changedRoutes = append(d.changedRoutes, r.GetName())
	return ""
}

func (d *draft) checkRoute(r *wire.Route) string {
	switch {
	case d.trusted:
		return ""
	case isInvalidName(r.GetName()):
		return invalidNameProblem("route", r.GetName())
	case r.GetDatabase() == "":
		return fmt.Sprintf("route %q names no database; give the database on the backend servers", r.GetName())
	case r.GetAge() < 0:
		return fmt.Sprintf("route %q has age %d; give milliseconds of at least 0", r.GetName(), r.GetAge())
	}
	for i, a := range r.GetAccounts() {
		if slices.Contains(r.GetAccounts()[:i], a) {
			return fmt.Sprintf("route %q lists account %q twice; list it once", r.GetName(), a)
		}
	}
	return ""
}

func (d *draft) dropRoute(name string) string {
	if d.groupOfRoute(name) == "" {
		return unknownProblem("route", name)
	}
	d.next.Routes = removeNamed(d.next.GetRoutes(), name, (*wire.Route).GetName)
	return ""
}

func (d *draft) putGroup(g *wire.Group) string {
	if problem := d.checkGroup(g); problem != "" {
		return problem
	}
	d.next.Groups = putNamed(d.next.GetGroups(), g, (*wire.Group).GetName)
	return ""
}

func (d *draft) checkGroup(g *wire.Group) string {
	v, _ := d.state.knownView(g.GetName())
	switch {
	case d.trusted:
		return ""
	case isInvalidName(g.GetName()):
		return invalidNameProblem("group", g.GetName())
	case g.GetMembers() < 1:
		return fmt.Sprintf("group %q has no members; give at least 1, better 3", g.GetName())
	case int(g.GetMembers()) < len(v.GetMembers()):
		return fmt.Sprintf("group %q has %d members; retire servers and wait for their removal before a lower number",
			g.GetName(), len(v.GetMembers()))
	case g.GetSlots() < 1:
		return fmt.Sprintf("group %q has no slots; give the concurrent statements of an instance", g.GetName())
	case g.GetConnections() < minConnections:
		return fmt.Sprintf("group %q has %d connections; give at least %d", g.GetName(), g.GetConnections(), minConnections)
	}
	return ""
}

func (d *draft) dropGroup(name string) string {
	if _, ok := getNamed(d.next.GetGroups(), name, (*wire.Group).GetName); !ok {
		return unknownProblem("group", name)
	}
	d.next.Groups = removeNamed(d.next.GetGroups(), name, (*wire.Group).GetName)
	d.checkAllRoutes = true
	return ""
}

func (d *draft) retire(server string) string {
	_, retired := slices.BinarySearch(d.next.GetRetired(), server)
	if !d.trusted && !retired && d.state.groupOfMember(server) == "" {
		return fmt.Sprintf("server %q is no member of a group; list the members with status", server)
	}
	d.next.Retired = putNamed(d.next.GetRetired(), server, identity)
	return ""
}

func (d *draft) restore(server string) string {
	if _, ok := slices.BinarySearch(d.next.GetRetired(), server); !ok {
		return fmt.Sprintf("server %q is not retired; list the retired servers with status", server)
	}
	d.next.Retired = removeNamed(d.next.GetRetired(), server, identity)
	return ""
}

// checkReferences checks that the groups and accounts of the routes exist. It runs after all edits, so the
// edits of a change may come in any order.
func (d *draft) checkReferences() string {
	routes := d.next.GetRoutes()
	if !d.checkAllRoutes {
		routes = nil
		for _, name := range d.changedRoutes {
			if r, ok := getNamed(d.next.GetRoutes(), name, (*wire.Route).GetName); ok {
				routes = append(routes, r)
			}
		}
	}
	for _, r := range routes {
		if _, ok := getNamed(d.next.GetGroups(), r.GetGroup(), (*wire.Group).GetName); !ok {
			return fmt.Sprintf("route %q names group %q, which does not exist; add the group or drop the route", r.GetName(), r.GetGroup())
		}
		for _, a := range r.GetAccounts() {
			if _, ok := d.account(a); !ok {
				return fmt.Sprintf("route %q lists account %q, which does not exist; add the account or take it off the route", r.GetName(), a)
			}
		}
	}
	return ""
}

func checkKey(k *wire.Key) string {
	if isInvalidName(k.GetName()) {
		return invalidNameProblem("key", k.GetName())
	}
	if !validVerifier(k.GetVerifier()) {
		return fmt.Sprintf("key %q has a bad verifier; give SCRAM-SHA-256$iterations:salt$stored:server with at least %d iterations",
			k.GetName(), minIterations)
	}
	return ""
}

// validVerifier reports whether text is a SCRAM-SHA-256 verifier in the format of PostgreSQL.
func validVerifier(text string) bool {
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return false
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	if n, err := strconv.Atoi(iterations); !ok || err != nil || n < minIterations {
		return false
	}
	stored, server, ok := strings.Cut(parts[2], ":")
	return ok && decodedSize(salt) > 0 && decodedSize(stored) == digestSize && decodedSize(server) == digestSize
}

// decodedSize returns the number of bytes that the base64 text encodes, or -1 if it is malformed.
func decodedSize(text string) int {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return -1
	}
	return len(raw)
}

func isPositive(x float64) bool {
	return x > 0 && !math.IsInf(x, 0)
}

// isInvalidName reports whether a name cannot be used in a startup packet or an INI section. A slash is
// invalid because it separates the account from the key in a user name.
func isInvalidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return true
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("-_.", r) {
			return true
		}
	}
	return false
}

func invalidNameProblem(kind, name string) string {
	return fmt.Sprintf("%s name %q is not valid; use 1 to %d letters, digits, '-', '_' or '.'", kind, name, maxNameLength)
}

func unknownProblem(kind, name string) string {
	return fmt.Sprintf("%s %q does not exist; list what exists with status", kind, name)
}
