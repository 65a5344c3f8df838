package event

import "github.com/apex/log"

// Events of the control log, 300 to 399.
var (
	// ReplicaStarted is written when the data folder is read.
	ReplicaStarted = define(300, log.InfoLevel, "replica-started", "A replica has read its data folder; its fields name the identity, the last entry and whether it belongs to a group.")
	// GroupFounded is written by the one replica that founds the group.
	GroupFounded = define(301, log.InfoLevel, "group-founded", "All seeds answered, none belongs to a group, and this replica has founded one with them.")
	// GroupJoined is written when a replica takes over a group's founding configuration.
	GroupJoined = define(302, log.InfoLevel, "group-joined", "A seed's group has this replica's identity and the replica has joined it.")
	// ReplicaBlank is written when a group exists that does not know this disk.
	ReplicaBlank = define(303, log.WarnLevel, "replica-blank", "The group exists without this replica's identity: the disk is new or was lost. The replica does not vote until an operator admits it.")
	// SeedsDisagree is written when the seeds can't all be right.
	SeedsDisagree = define(304, log.ErrorLevel, "seeds-disagree", "A seed answers with another name, group or a doubled identity; the group is not founded. Check the node files.")
	// LeaderElected is written by a replica that begins to lead.
	LeaderElected = define(305, log.InfoLevel, "leader-elected", "This replica leads the control log in the given term.")
	// LeaderLost is written by a replica that no longer leads.
	LeaderLost = define(306, log.WarnLevel, "leader-lost", "This replica no longer leads; proposals whose commit it did not see are answered as unknown.")
	// LeaderFollowed is written when a replica follows another leader than before.
	LeaderFollowed = define(307, log.InfoLevel, "leader-followed", "The replica follows the named leader in the given term.")
	// MembersChanged is written when another configuration is committed.
	MembersChanged = define(308, log.InfoLevel, "members-changed", "Another set of members is committed; the fields name voters and learners.")
	// SnapshotTaken is written when the state is on disk as a snapshot.
	SnapshotTaken = define(309, log.InfoLevel, "snapshot-taken", "The state up to the given index is saved and the log before it is dropped.")
	// SnapshotInstalled is written when the leader's snapshot replaces the state.
	SnapshotInstalled = define(310, log.InfoLevel, "snapshot-installed", "The replica was so far behind that it took the leader's snapshot.")
	// TornWriteCut is written when an unfinished last write was found.
	TornWriteCut = define(311, log.WarnLevel, "torn-write-cut", "The log ended in a write that was never finished and never acknowledged; it was cut off.")
	// ReplicaFailed is written when a replica ends by itself.
	ReplicaFailed = define(312, log.ErrorLevel, "replica-failed", "The replica has ended because its disk or state can't be trusted; the error says what to do.")
	// LeadershipHandedOver is written at a planned stop.
	LeadershipHandedOver = define(313, log.InfoLevel, "leadership-handed-over", "The leader stops and has asked the named replica to take over.")
	// ReplicaStopped is written last.
	ReplicaStopped = define(314, log.InfoLevel, "replica-stopped", "The replica has synced and closed its data folder.")
	// DiskLow is written when the reserve of free space is used up.
	DiskLow = define(315, log.ErrorLevel, "disk-low", "The disk of the data folder has less room than the reserve; this replica, when it leads, accepts no commands until there is room again.")
)
