// Package entry runs an entry as a process: callers, operators and backend
// servers on one HTTP address, the other entries and the control log on QUIC.
package entry
