// Package observe records what an entry observes of each backend server: requests in flight,
// failures, latencies and the load that the server reports.
package observe
