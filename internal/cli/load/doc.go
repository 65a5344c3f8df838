// Package load replays the workload of a deployment against running entries.
//
// Requests go out at their arrival times whatever the entries do (an open
// loop), so that an overload shows as it would to callers.
package load
