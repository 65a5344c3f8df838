// Package baseline holds the simple strategies that the policy is compared
// with: round robin, least loaded and prefix hash.
//
// They choose only the server. Engines use their own prefix caches and honour
// priorities as they do with the policy. With Imports set, a piece that a store
// holds is always imported.
package baseline
