// Package load replays the workload of a deployment against running entries.
//
// Requests are sent at their arrival times regardless of how the entries respond
// (an open loop), so that overload shows as it would to callers.
package load
