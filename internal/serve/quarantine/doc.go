// Package quarantine keeps an entry from sending requests that crash their servers, also those whose prompts share a
// part that does.
//
// Each entry reports the servers that were lost while they ran its requests to the control log,
// which decides for the whole site which requests are quarantined.
package quarantine
