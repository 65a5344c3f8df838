// Package workload generates the requests of the two deployments: classes,
// workspaces, documents that return after long gaps, and arrival times.
//
// It is independent of servers, so that the model in virtual time and the load
// command can use the same generator. The same seed gives the same requests.
package workload
