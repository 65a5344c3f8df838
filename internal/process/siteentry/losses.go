package siteentry

import (
	"context"
	"math/rand/v2"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/control/protocol"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/node/rpc"
)

const (
	// lossesInterval is the interval of reports on lost servers while there are few entries.
	lossesInterval = 30 * time.Millisecond
	// lossesTimeout bounds one report, which is a commit to the control log.
	lossesTimeout = 1500 * time.Millisecond
	// maxReportDelay bounds what reports on a large site add to the time in which entries can refute a quarantine.
	maxReportDelay = 800 * time.Millisecond
)

// reportLosses reports the requests under which servers were lost to the control log, and what else the guard has to
// tell it, until ctx ends.
//
// A report is repeated until it is committed, through another replica each time. One that was committed without
// an answer is counted once.
func (p *process) reportLosses(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, p.scaledInterval(lossesInterval))
		c, ok := p.guard.Pending(time.Now())
		if !ok {
			continue
		}
		if r, ok := p.proposeLosses(ctx, c); ok {
			p.guard.Reported(r, time.Now())
		}
	}
}

// reportDelay returns how much later than on a small site a report and its row arrive.
func (p *process) reportDelay() time.Duration {
	return min(2*(p.scaledInterval(lossesInterval)-lossesInterval), maxReportDelay)
}

func (p *process) proposeLosses(ctx context.Context, c section.Command) (section.Result, bool) {
	body, err := codec.Marshal(c)
	all := p.addresses()
	if err != nil || len(all) == 0 {
		return section.Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lossesTimeout)
	defer cancel()
	address := all[rand.IntN(len(all))]
	applied, err := rpc.Call(ctx, p.node, address, protocol.Propose, protocol.Proposal{Section: section.Name, Body: body})
	if err != nil {
		return section.Result{}, false
	}
	r, err := codec.Unmarshal[section.Result](applied.Result)
	return r, err == nil
}
