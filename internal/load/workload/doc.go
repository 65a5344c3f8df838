// Package workload generates the requests of the two deployments: classes,
// workspaces, documents that come back after long gaps, and arrival times.
//
// It knows nothing of servers; a model in virtual time and a load command
// can draw from the same generator. The same seed gives the same requests.
package workload
