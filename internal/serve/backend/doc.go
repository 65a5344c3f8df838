// Package backend sends requests to backend servers over HTTP/1.1 with its own connection
// pool.
//
// The client of the standard library retries a request by itself on a connection that broke if
// the method looks safe. Here a request is written once, and every failure states whether a
// byte of it may have been sent.
package backend
