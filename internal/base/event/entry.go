package event

import "github.com/apex/log"

// Events of an entry's own decisions beside those of the policy, 820 to 829.
var (
	// CallRouted is written when a plain service's call was given a backend server.
	CallRouted = define(820, log.InfoLevel, "call-routed", "A call of a plain service was given a backend server; the fields name the server and its calls in flight.")
)

// Events of an entry's settings beside those of the edits, 450 to 459.
var (
	// SettingsNotApplied is written when an answer of the control log does not fit.
	SettingsNotApplied = define(450, log.ErrorLevel, "settings-not-applied", "What the control log sent could not be applied; the entry asks again and takes no new work when its lease runs out.")
)

// Events of the control log's leader beside the replica's own, 350 to 359.
var (
	// ClaimsAbandoned is written when the leader gave up the claims of a dead entry.
	ClaimsAbandoned = define(350, log.WarnLevel, "claims-abandoned", "An entry has been without a settings lease for long; the outcomes of its open calls are unknown from here on.")
	// MemberChanged is written when the leader changed the members as operators admitted them.
	MemberChanged = define(351, log.InfoLevel, "member-changed", "A replica that operators admit was added, got its vote, or replaced the member of its name.")
	// MemberChangeRefused is written when such a change has to wait.
	MemberChangeRefused = define(352, log.InfoLevel, "member-change-refused", "A change of the members has to wait, for example until a learner has caught up; it is tried again.")
)
