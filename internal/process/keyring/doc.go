// Package keyring keeps a process's keys fresh: changed files are read without
// a restart, and a near expiry is reported.
package keyring
