package replica

import (
	"slices"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/raft"
)

// publish makes the core's status visible to other goroutines and logs what changed.
func (l *loop) publish() {
	r := l.replica
	s := l.core.Status()
	if l.before.Role == raft.Leader && (s.Role != raft.Leader || s.Term != l.before.Term) {
		l.lost(s)
	}
	l.tell(s)
	l.before = s
	r.mu.Lock()
	defer r.mu.Unlock()
	r.formation.Configuration = s.CommittedConfiguration
	r.status.Role = s.Role.String()
	r.status.Term = s.Term
	r.status.Leader, r.status.LeaderAddress = l.nameOf(s), s.LeaderAddress
	r.status.Commit, r.status.Last, r.status.Snapshot = s.Commit, s.Last, s.Snapshot
	r.status.Addresses = s.Configuration.Addresses()
	r.status.Members = s.CommittedConfiguration.Members
	r.status.Matches = s.Matches
	r.heard, r.target = s.Leader != raft.None && s.Heard, s.Target
}

// lost answers those who wait for a leader that is none any more.
func (l *loop) lost(s raft.Status) {
	event.LeaderLost.Write(l.replica.config.Logger, log.Fields{"replica": l.replica.config.Name, "term": s.Term})
	l.replica.pending.abandon(s.Commit, l.leader())
	for id, q := range l.confirm {
		delete(l.confirm, id)
		q.finish(0, errNotLeader(l.leader()))
	}
}

func (l *loop) tell(s raft.Status) {
	logger, name := l.replica.config.Logger, l.replica.config.Name
	if s.Leader != l.before.Leader && s.Leader != raft.None {
		if s.Role == raft.Leader {
			event.LeaderElected.Write(logger, log.Fields{"replica": name, "term": s.Term})
		} else {
			event.LeaderFollowed.Write(logger, log.Fields{"replica": name, "term": s.Term, "leader": l.nameOf(s), "address": s.LeaderAddress})
		}
	}
	if !slices.Equal(s.CommittedConfiguration.Members, l.before.CommittedConfiguration.Members) {
		event.MembersChanged.Write(logger, log.Fields{"replica": name, "members": len(s.CommittedConfiguration.Members), "voters": s.CommittedConfiguration.Voters()})
	}
}
