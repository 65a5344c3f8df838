// Package state is the replicated state machine: sections side by side, each
// with its own commands, queries and snapshot.
package state
