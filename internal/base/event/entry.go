package event

import "github.com/apex/log"

// Events of an entry's own decisions, other than those of the policy, 820 to 829.
var (
	// CallRouted is written when a plain service's call was assigned to a backend server.
	CallRouted = define(820, log.InfoLevel, "call-routed", "A call of a plain service was assigned to a backend server; the fields name the server and its calls in flight.")
)

// Events of an entry's settings, other than those of edits, 450 to 459.
var (
	// SettingsNotApplied is written when an answer of the control log could not be applied.
	SettingsNotApplied = define(450, log.ErrorLevel, "settings-not-applied", "An answer of the control log could not be applied; the entry requests it again and accepts no new work once its lease has expired.")
)

// Events of the control log's leader, other than those of replicas, 350 to 359.
var (
	// ClaimsAbandoned is written when the leader abandoned the claims of a dead entry.
	ClaimsAbandoned = define(350, log.WarnLevel, "claims-abandoned", "An entry has had no settings lease for a long time; the outcomes of its open calls are unknown from now on.")
	// MemberChanged is written when the leader changed the members to those that operators admitted.
	MemberChanged = define(351, log.InfoLevel, "member-changed", "A replica that operators admitted was added, became a voter, or replaced the member of the same name.")
	// MemberChangeRefused is written when such a change has to wait.
	MemberChangeRefused = define(352, log.InfoLevel, "member-change-refused", "A membership change has to wait, for example until a learner has caught up; it is retried.")
)
