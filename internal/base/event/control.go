package event

import "github.com/apex/log"

// Events of the control log, 300 to 399.
var (
	// ReplicaStarted is written when the data folder is read.
	ReplicaStarted = define(300, log.InfoLevel, "replica-started", "A replica has read its data folder; its fields name the identity, the last entry and whether it belongs to a group.")
	// GroupFounded is written by the one replica that founds the group.
	GroupFounded = define(301, log.InfoLevel, "group-founded", "All seeds answered, none belongs to a group, and this replica has founded one with them.")
	// GroupJoined is written when a replica adopts a group's founding configuration.
	GroupJoined = define(302, log.InfoLevel, "group-joined", "The group of a seed has this replica's identity, and the replica has joined it.")
	// ReplicaBlank is written when a group exists without this disk's identity.
	ReplicaBlank = define(303, log.WarnLevel, "replica-blank", "The group exists without this replica's identity: the disk is new or was lost. The replica does not vote until an operator admits it.")
	// SeedsDisagree is written when the answers of the seeds contradict each other.
	SeedsDisagree = define(304, log.ErrorLevel, "seeds-disagree", "A seed answers with another name, another group or a duplicate identity; the group is not founded. Check the node files.")
	// LeaderElected is written by a replica that becomes the leader.
	LeaderElected = define(305, log.InfoLevel, "leader-elected", "This replica leads the control log in the given term.")
	// LeaderLost is written by a replica that is no longer the leader.
	LeaderLost = define(306, log.WarnLevel, "leader-lost", "This replica no longer leads; proposals whose commit it did not see are answered as unknown.")
	// LeaderFollowed is written when a replica follows another leader than before.
	LeaderFollowed = define(307, log.InfoLevel, "leader-followed", "The replica follows the named leader in the given term.")
	// MembersChanged is written when another configuration is committed.
	MembersChanged = define(308, log.InfoLevel, "members-changed", "Another set of members is committed; the fields name voters and learners.")
	// SnapshotTaken is written when the state is on disk as a snapshot.
	SnapshotTaken = define(309, log.InfoLevel, "snapshot-taken", "The state up to the given index is saved and the log before it is dropped.")
	// SnapshotInstalled is written when the leader's snapshot replaces the state.
	SnapshotInstalled = define(310, log.InfoLevel, "snapshot-installed", "The replica was so far behind that it installed the leader's snapshot.")
	// TornWriteCut is written when an incomplete last write was found.
	TornWriteCut = define(311, log.WarnLevel, "torn-write-cut", "The log ended in an incomplete write that was never acknowledged; the write was removed.")
	// ReplicaFailed is written when a replica stops because of an error.
	ReplicaFailed = define(312, log.ErrorLevel, "replica-failed", "The replica has ended because its disk or state can't be trusted; the error says what to do.")
	// LeadershipHandedOver is written when the leader stops as planned.
	LeadershipHandedOver = define(313, log.InfoLevel, "leadership-handed-over", "The leader stops and has asked the named replica to take over.")
	// ReplicaStopped is written at the end of a planned stop.
	ReplicaStopped = define(314, log.InfoLevel, "replica-stopped", "The replica has synced and closed its data folder.")
	// FolderSetAside is written when a replica can't trust its data folder.
	FolderSetAside = define(316, log.ErrorLevel, "folder-set-aside", "The data folder is damaged, the error says where; its files are kept under names that begin with damaged-, and the replica goes on as one that lost its disk: blank, without a vote, until the group admits it.")
	// DiskLow is written when the reserve of free space is used up.
	DiskLow = define(315, log.ErrorLevel, "disk-low", "The disk of the data folder has less free space than the reserve; this replica, if it is the leader, accepts no commands until there is enough space again.")
)
