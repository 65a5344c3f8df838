package sitecontrol

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/check"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/site/section"
)

// SetEvacuation implements Service.
func (p *process) SetEvacuation(ctx context.Context, zone string, active bool) error {
	start := time.Now()
	number, err := p.setEvacuation(ctx, zone, active)
	f := log.Fields{"zone": zone, "active": active, "number": number, "ms": time.Since(start).Milliseconds()}
	if err != nil {
		f["error"] = err.Error()
	}
	event.EvacuationOrdered.Write(p.config.Logger, f)
	return err
}

// setEvacuation commits an order and returns its number among those for the zone.
//
// An order that was overtaken is proposed again only while its operator waits for the answer:
// after that it may contradict what the operator has sent since.
func (p *process) setEvacuation(ctx context.Context, zone string, active bool) (uint64, error) {
	if err := check.Name("the zone", zone, maxZoneBytes); err != nil {
		return 0, p.rejections.reject("evacuation", zone, err)
	}
	if zones := p.config.Host.Zones; len(zones) > 0 && !slices.Contains(zones, zone) {
		return 0, verdict.New(verdict.NotRun, http.StatusNotFound, "unknown-zone", "there is no availability zone %q; the site has %s", zone, strings.Join(zones, ", "))
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		order := section.SetEvacuation{Zone: zone, Active: active, After: p.section.Evacuations()[zone].Number, At: time.Now().UnixMilli()}
		r, err := p.change(ctx, section.Command{SetEvacuation: &order})
		if err != nil {
			return 0, err
		}
		if !r.Overtaken {
			return order.After + 1, nil
		}
		if err := p.leader.CatchUp(ctx); err != nil {
			return 0, err
		}
	}
}
