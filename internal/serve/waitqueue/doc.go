// Package waitqueue holds the requests that wait for room at a backend server and
// decides in which order they try again.
package waitqueue
