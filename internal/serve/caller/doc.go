// Package caller handles callers' requests: it finds the route, admits the request, sends it
// to backend servers and forwards the complete response.
package caller
