// Package waitqueue holds the requests that wait for capacity at a backend server and
// determines the order in which they try again.
package waitqueue
