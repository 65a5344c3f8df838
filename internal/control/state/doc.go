// Package state implements the replicated state machine. It consists of
// independent sections, each with its own commands, queries and snapshot.
package state
