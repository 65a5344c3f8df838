// Package quarantine prevents requests that crash their servers from running,
// based on the fleet-wide quarantine record in the control log.
//
// An entry polls the record, reports servers that were lost while they ran its
// requests, and acquires a slot before it runs a suspect.
package quarantine
