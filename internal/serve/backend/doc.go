// Package backend sends requests to backend servers over HTTP/1.1 with its own
// pool of connections.
//
// The standard library's client repeats a request by itself on a connection
// that broke, if the method looks safe. Here a request is written once, and
// every failure says whether a byte of it may have left.
package backend
