package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"hornbeamwood/internal/settings/rules"
	"hornbeamwood/internal/settings/tree"
)

// StartEvacuation adds the availability zone c.Value to those whose servers get no new requests.
func StartEvacuation(ctx context.Context, c Config, stdout io.Writer) error {
	return c.evacuate(ctx, stdout, func(zones []string) ([]string, bool) {
		return append(zones, c.Value), !slices.Contains(zones, c.Value)
	})
}

// EndEvacuation removes the availability zone c.Value from those whose servers get no new requests.
func EndEvacuation(ctx context.Context, c Config, stdout io.Writer) error {
	return c.evacuate(ctx, stdout, func(zones []string) ([]string, bool) {
		left := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == c.Value })
		return left, len(left) < len(zones)
	})
}

// evacuate edits the list of evacuated zones.
//
// The edit is based on the revision at which the list was read. Another operator's edit in
// between makes it conflict, and it is made again on the new list.
func (c Config) evacuate(ctx context.Context, stdout io.Writer, change func(zones []string) ([]string, bool)) error {
	if c.Value == "" || strings.ContainsAny(c.Value, " \t\n") {
		return usage("ZONE", "must be the name of one availability zone, not %q", c.Value)
	}
	for attempt := 1; ; attempt++ {
		base, err := c.withDefaults().base(ctx)
		if err != nil {
			return err
		}
		zones, err := c.evacuatedZones(ctx)
		if err != nil {
			return err
		}
		zones, changed := change(zones)
		if !changed {
			fmt.Fprintln(stdout, "nothing to change")
			return nil
		}
		err = c.setEvacuatedZones(ctx, stdout, base, zones)
		var r RefusedError
		if attempt < maxAttempts && errors.As(err, &r) && r.Status == http.StatusPreconditionFailed {
			continue
		}
		return err
	}
}

func (c Config) setEvacuatedZones(ctx context.Context, stdout io.Writer, base string, zones []string) error {
	slices.Sort(zones)
	body, err := json.Marshal(map[string]tree.Value{rules.EvacuatedZonesSetting: tree.TextValue(strings.Join(zones, " "))})
	if err != nil {
		return err
	}
	c.IfMatch = base
	return c.withDefaults().edit(ctx, stdout, request{method: http.MethodPatch, path: tree.FleetPath, contentType: "application/json", body: body})
}

func (c Config) evacuatedZones(ctx context.Context) ([]string, error) {
	c.Setting = rules.EvacuatedZonesSetting
	x, _, err := c.explanation(ctx, tree.FleetPath)
	if err != nil || len(x.Values) != 1 {
		return nil, err
	}
	text, _ := x.Values[0].Value.(string)
	return strings.Fields(text), nil
}

// ShowEvacuations shows the evacuated availability zones, and by whom and when each evacuation in the audit trail was started or ended.
func ShowEvacuations(ctx context.Context, c Config, stdout io.Writer) error {
	zones, err := c.evacuatedZones(ctx)
	if err != nil {
		return err
	}
	trail, _, err := fetchJSON[auditTrail](ctx, c, request{route: "settings-history"})
	if err != nil {
		return err
	}
	if len(zones) == 0 {
		fmt.Fprintln(stdout, "no availability zone is evacuated")
	}
	for _, z := range zones {
		fmt.Fprintln(stdout, "evacuated:", z)
	}
	for _, r := range trail.Records {
		for _, e := range r.Effects {
			if e.Key == rules.EvacuatedZonesSetting {
				fmt.Fprintf(stdout, "  %s by %s in revision %d: %s\n", time.Unix(0, r.At).UTC().Format(time.RFC3339), r.Operator, r.Revision, e)
			}
		}
	}
	return nil
}
