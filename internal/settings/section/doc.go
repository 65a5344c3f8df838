// Package section is the part of the replicated state that holds the settings
// tree with its history: it decides which of two racing edits wins, answers a
// resent edit with its first outcome, and shows entries what changed.
package section
