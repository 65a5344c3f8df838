// Package quarantine keeps the fleet's record of requests that crash the
// servers that run them, one section of the replicated state.
package quarantine
