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
	all := slices.Concat(p.host.Load().Seeds, p.replica.Status().Addresses)
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

// showMembers shows entries where replicas may be found. They must hear of all of them
// before a leader is: after a loss of power of all VMs, hundreds of entries would else
// ask the seeds alone and wait behind each other.
func (p *process) showMembers() {
	addresses := slices.Clone(p.replica.Status().Addresses)
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	p.put(topic.Members, "", slices.Compact(addresses))
}
