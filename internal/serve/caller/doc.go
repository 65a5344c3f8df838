// Package caller answers callers: it finds the route, admits the request,
// sends it to backend servers and passes the answer back whole.
package caller
