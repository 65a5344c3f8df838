// Package quarantine records the requests, and the parts of prompts, that crash
// the servers on which they run. The records are one section of the replicated state and apply to
// the whole fleet.
package quarantine
