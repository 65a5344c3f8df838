// Package section implements the section of the replicated state that contains
// the settings tree and its history. It decides which of two concurrent edits is
// accepted, answers a resent edit with its first outcome, and gives entries the
// changes since a known revision.
package section
