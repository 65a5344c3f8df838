package sitecontrol

import (
	"context"
	"slices"
	"time"

	"hornbeamwood/internal/site/topic"
)

// membersInterval is the time between two looks at the members of the log.
const membersInterval = 250 * time.Millisecond

// addresses returns where replicas may be found: the members of the log, the seeds, and whom this process heard of before.
func (p *process) addresses() []string {
	all := slices.Clone(p.host.Load().Seeds)
	for _, m := range p.replica.Status().Members {
		all = append(all, m.Address)
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == p.config.Host.Internal })
}

// followMembers keeps the polls and the board's row of members up to date.
func (p *process) followMembers(ctx context.Context) {
	t := time.NewTicker(membersInterval)
	defer t.Stop()
	for {
		all := p.addresses()
		p.peers.Store(&all)
		p.follower.Follow(ctx, all)
		p.showMembers()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (p *process) showMembers() {
	members := p.replica.Status().Members
	if len(members) == 0 {
		return
	}
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	slices.Sort(addresses)
	p.put(topic.Members, "", slices.Compact(addresses))
}
