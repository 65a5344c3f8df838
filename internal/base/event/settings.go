package event

import "github.com/apex/log"

// Events of settings and operators, 400 to 499.
var (
	// EditAccepted is written by the entry that received the edit.
	EditAccepted = define(400, log.InfoLevel, "settings-edit-accepted", "An operator's edit was accepted; its fields name the operator, the edit id, the revision and whether it was resent.")
	// EditConflict is written by the entry that received the edit.
	EditConflict = define(401, log.InfoLevel, "settings-edit-conflict", "Another edit based on the same revision was accepted first; the fields name the operator, the edit id and the winner.")
	// EditRefused is written by the entry that received the edit.
	EditRefused = define(402, log.InfoLevel, "settings-edit-refused", "An edit was not valid; its fields name the operator, the edit id and the reasons.")
	// EditUnknown is written by the entry that received the edit.
	EditUnknown = define(403, log.WarnLevel, "settings-edit-unknown", "The control log did not answer in time; the edit may have been accepted, and resending it with the same edit id returns its outcome.")
	// OperatorRefused is written when a key belongs to no operator.
	OperatorRefused = define(404, log.WarnLevel, "operator-refused", "A request to the operators' interface carried no operator's key.")
	// SettingsApplied is written by each entry that applies a newer revision.
	SettingsApplied = define(405, log.InfoLevel, "settings-applied", "The entry serves under a newer revision; its fields name the revision.")
	// LeaseLost is written by an entry that stops accepting new work.
	LeaseLost = define(406, log.WarnLevel, "settings-lease-lost", "The entry could not prove for the duration of the settings lease that its settings are in force; it accepts no new work and its health check fails.")
	// LeaseRegained is written by an entry that accepts new work again.
	LeaseRegained = define(407, log.InfoLevel, "settings-lease-regained", "The entry has proved again that its settings are in force, and accepts new work.")
)
