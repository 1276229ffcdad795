package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const evacuateLong = "Sends nothing more to the backend servers of an availability zone, or takes the zone back with --end. " +
	"The order is durable when the command ends with code 0, and it may be repeated."

// evacuateCommand evacuates an availability zone.
type evacuateCommand struct {
	controlOptions
	Zone string `long:"zone" description:"availability zone"`
	End  bool   `long:"end" description:"end the evacuation"`

	ctx     context.Context
	globals *globals
}

// Check returns an error that names the remedy if a setting is missing.
func (c *evacuateCommand) Check() error {
	if c.Zone == "" {
		return errors.WithHint(errors.New("evacuate: --zone is missing"), "name an availability zone; see fireflyrudder status")
	}
	return c.controlOptions.Check()
}

// Execute runs the command.
func (c *evacuateCommand) Execute([]string) error {
	return c.withClient(c.ctx, c.globals, func(ctx context.Context, client *controlvm.Client) error {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if known := knownZones(s); s.Configuration != nil && !slices.Contains(known, c.Zone) {
			return errors.WithHint(errors.Newf("evacuate: availability zone %q is unknown", c.Zone), "use one of "+formatZones(known))
		}
		zones, err := client.Evacuate(ctx, c.Zone, c.End)
		if err != nil {
			return err
		}
		fmt.Printf("evacuated: %s\n", formatZones(zones))
		return nil
	})
}

// knownZones returns the availability zones of backend servers, entry VMs and control VMs, and the evacuated ones, sorted.
func knownZones(s *wire.StatusReply) []string {
	zones := slices.Clone(s.Evacuated)
	for _, v := range s.Views {
		for _, m := range v.Members {
			zones = append(zones, m.Zone)
		}
	}
	for _, r := range s.Registrations {
		zones = append(zones, r.Zone)
	}
	for _, v := range s.Voters {
		zones = append(zones, v.Zone)
	}
	slices.Sort(zones)
	return slices.DeleteFunc(slices.Compact(zones), func(zone string) bool { return zone == "" })
}

// formatZones lists availability zones.
func formatZones(zones []string) string {
	if len(zones) == 0 {
		return "none"
	}
	return strings.Join(zones, ", ")
}
