package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"fireflyrudder.example/fireflyrudder/internal/configuration"
	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const statusLong = "Shows the control group, the database groups, the entry VMs and the configuration version. " +
	"Verifiers of keys are never shown."

// statusCommand prints the state of the control group.
type statusCommand struct {
	controlOptions
	JSON          bool `long:"json" description:"write JSON"`
	Configuration bool `long:"configuration" description:"write the configuration as an INI file, without verifiers"`

	ctx     context.Context
	globals *globals
}

// Execute runs the command.
func (c *statusCommand) Execute([]string) error {
	return c.withClient(c.ctx, c.globals, func(ctx context.Context, client *controlvm.Client) error {
		reply, err := client.Status(ctx)
		if err != nil {
			return err
		}
		switch {
		case c.JSON:
			fmt.Println(protojson.Format(reply))
			return nil
		case c.Configuration:
			return configuration.Write(os.Stdout, reply.Configuration)
		}
		return writeStatus(reply)
	})
}

func writeStatus(s *wire.StatusReply) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	leader := s.Leader
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(w, "leader\t%s\nterm\t%d\nindex\t%d\n", leader, s.Term, s.Index)
	if c := s.Configuration; c != nil {
		fmt.Fprintf(w, "version\t%d (change %s)\nevacuated\t%s\n", c.Version, c.Change, formatZones(s.Evacuated))
	}
	fmt.Fprintln(w, "\ncontrol VM\tidentity\tzone\trole\tmatched\tsilent")
	for _, v := range s.Voters {
		silent := time.Duration(v.Silent) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", v.Address, v.Identity, v.Zone, v.Role, v.Matched, silent)
	}
	fmt.Fprintln(w, "\ngroup\tterm\tphase\tprimary\tmembers")
	for _, v := range s.Views {
		phase := strings.ToLower(strings.TrimPrefix(v.Phase.String(), "PHASE_"))
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", v.Group, v.Term, phase, v.Primary, formatMembers(v))
	}
	fmt.Fprintln(w, "\nentry VM\tidentity\tzone")
	for _, r := range s.Registrations {
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.Name, r.Entry, r.Zone)
	}
	return w.Flush()
}

// formatMembers lists the members of a database group.
func formatMembers(v *wire.View) string {
	names := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		name := m.Server
		if m.Retired {
			name += " (retired)"
		}
		if m.Evacuated {
			name += " (evacuated)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}
