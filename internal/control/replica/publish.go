package replica

import (
	"slices"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/raft"
)

// publish makes the core's status visible to other goroutines and logs changes.
func (l *loop) publish() {
	r := l.replica
	s := l.core.Status()
	if l.lastStatus.Role == raft.Leader && (s.Role != raft.Leader || s.Term != l.lastStatus.Term) {
		l.leadershipLost(s)
	}
	l.logChanges(s)
	l.lastStatus = s
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
	r.leaderCommitKnown, r.leaderCommit = s.Leader != raft.None && s.LeaderCommitKnown, s.LeaderCommit
}

// leadershipLost completes the pending proposals and reads after this replica lost leadership.
func (l *loop) leadershipLost(s raft.Status) {
	event.LeaderLost.Write(l.replica.config.Logger, log.Fields{"replica": l.replica.config.Name, "term": s.Term})
	l.replica.pending.failAfter(s.Commit, l.notLeaderError())
	for id, q := range l.pendingReads {
		delete(l.pendingReads, id)
		q.finish(0, errNotLeader(l.notLeaderError()))
	}
}

func (l *loop) logChanges(s raft.Status) {
	logger, name := l.replica.config.Logger, l.replica.config.Name
	if s.Leader != l.lastStatus.Leader && s.Leader != raft.None {
		if s.Role == raft.Leader {
			event.LeaderElected.Write(logger, log.Fields{"replica": name, "term": s.Term})
		} else {
			event.LeaderFollowed.Write(logger, log.Fields{"replica": name, "term": s.Term, "leader": l.nameOf(s), "address": s.LeaderAddress})
		}
	}
	if !slices.Equal(s.CommittedConfiguration.Members, l.lastStatus.CommittedConfiguration.Members) {
		event.MembersChanged.Write(logger, log.Fields{"replica": name, "members": len(s.CommittedConfiguration.Members), "voters": s.CommittedConfiguration.Voters()})
	}
}
