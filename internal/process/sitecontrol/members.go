package sitecontrol

import (
	"context"
	"slices"
	"time"

	"hornbeamwood/internal/site/topic"
)

// membersInterval is the time between two checks of the members of the log.
const membersInterval = 250 * time.Millisecond

// addresses returns the known addresses of other replicas: the seeds and the addresses in the replica's status.
func (p *process) addresses() []string {
	all := slices.Concat(p.host.Load().Seeds, p.replica.Status().Addresses)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(a string) bool { return a == p.config.Host.Internal })
}

// followMembers keeps the polls of other replicas and the row of members up to date.
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

// showMembers shows entries the addresses of the replicas. Entries need all addresses
// before a leader is elected. After a power failure of all VMs, hundreds of entries
// would otherwise poll the seeds alone and queue behind each other.
func (p *process) showMembers() {
	addresses := slices.Clone(p.replica.Status().Addresses)
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	p.put(topic.Members, "", slices.Compact(addresses))
}
