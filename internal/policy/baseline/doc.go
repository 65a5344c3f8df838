// Package baseline holds the naive strategies that the policy is measured
// against: round robin, least loaded and prefix hash.
//
// They choose only the server. Engines use their own prefix caches and honour
// priorities as under the policy, and with Imports set a piece that a store
// holds is always read from there.
package baseline
