// Package entry runs the process of an entry. It serves callers, operators and backend
// servers on one HTTP address, and uses QUIC for the other entries and the control log.
package entry
