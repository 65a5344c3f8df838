// Package request holds the typed forms of a caller's request, of what the
// system adds to it for a backend server, and of the server's answer.
package request
