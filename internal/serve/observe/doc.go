// Package observe keeps what an entry sees of each backend server: requests
// under way, failures, latencies and the load that the server reports.
package observe
