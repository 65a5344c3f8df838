package event

import "github.com/apex/log"

// Events of settings and operators, 400 to 499.
var (
	// EditAccepted is written by the entry that took the edit.
	EditAccepted = define(400, log.InfoLevel, "settings-edit-accepted", "An operator's edit was accepted; its fields name the operator, the edit id, the revision and whether it was sent again.")
	// EditConflict is written by the entry that took the edit.
	EditConflict = define(401, log.InfoLevel, "settings-edit-conflict", "An edit lost to another one under the same number; its fields name the operator, the edit id and the winner.")
	// EditRefused is written by the entry that took the edit.
	EditRefused = define(402, log.InfoLevel, "settings-edit-refused", "An edit was not valid; its fields name the operator, the edit id and the reasons.")
	// EditUnknown is written by the entry that took the edit.
	EditUnknown = define(403, log.WarnLevel, "settings-edit-unknown", "The control log did not answer in time; the edit may have been accepted, and sending the same edit id again tells.")
	// OperatorRefused is written when a key belongs to no operator.
	OperatorRefused = define(404, log.WarnLevel, "operator-refused", "A request to the operators' interface carried no operator's key.")
	// SettingsApplied is written by each entry.
	SettingsApplied = define(405, log.InfoLevel, "settings-applied", "The entry serves under a newer revision; its fields name the revision.")
	// LeaseLost is written by an entry that takes no new work from now on.
	LeaseLost = define(406, log.WarnLevel, "settings-lease-lost", "The entry could not prove for the settings lease that its settings are in force; it takes no new work and its health check fails.")
	// LeaseRegained is written by an entry that takes new work again.
	LeaseRegained = define(407, log.InfoLevel, "settings-lease-regained", "The entry has proved again that its settings are in force, and takes new work.")
)
