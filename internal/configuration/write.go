package configuration

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Write writes a configuration in the format that Read reads. Keys without a verifier, as in the output of the
// status command, are omitted.
func Write(w io.Writer, c *wire.Configuration) error {
	var b strings.Builder
	for _, g := range c.GetGroups() {
		fmt.Fprintf(&b, "[group %s]\nmembers = %d\nslots = %d\nconnections = %d\n\n", g.Name, g.Members, g.Slots, g.Connections)
	}
	for _, a := range c.GetAccounts() {
		fmt.Fprintf(&b, "[account %s]\nrate = %s\nburst = %s\nweight = %d\n\n", a.Name, formatFloat(a.Rate), formatFloat(a.Burst), max(a.Weight, 1))
		for _, k := range a.Keys {
			if k.Verifier != "" {
				fmt.Fprintf(&b, "[key %s/%s]\nverifier = %s\n\n", a.Name, k.Name, k.Verifier)
			}
		}
	}
	for _, r := range c.GetRoutes() {
		fmt.Fprintf(&b, "[route %s]\ngroup = %s\ndatabase = %s\nopen = %t\n", r.Name, r.Group, r.Database, r.Open)
		if len(r.Accounts) > 0 {
			fmt.Fprintf(&b, "accounts = %s\n", strings.Join(r.Accounts, ", "))
		}
		fmt.Fprintf(&b, "age = %s\nrepeatable = %t\n\n", time.Duration(r.Age)*time.Millisecond, r.Repeatable)
	}
	for _, server := range c.GetRetired() {
		fmt.Fprintf(&b, "[server %s]\nretired = true\n\n", server)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "configuration")
}

func formatFloat(n float64) string {
	return strconv.FormatFloat(n, 'g', -1, 64)
}
