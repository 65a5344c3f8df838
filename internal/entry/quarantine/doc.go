// Package quarantine keeps requests that crash their servers from running, by
// the fleet's record in the control log.
//
// An entry follows the record, reports the servers that were lost under its
// requests, and asks for a slot before it runs a suspect.
package quarantine
