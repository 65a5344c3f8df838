// Package request holds the types of a caller's request, of what the system adds to it for a
// backend server, and of the server's response headers.
package request
