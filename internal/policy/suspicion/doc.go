// Package suspicion identifies the requests that crash the servers that run
// them.
//
// The loss of a server is counted for each fingerprint that was running there.
// Only losses of different servers count. A loss that is better explained by a
// quarantined fingerprint no longer counts against the other fingerprints that
// were running on that server.
package suspicion
