// Package tunnel connects to backend servers through another entry, for an entry whose own
// connections to them fail.
//
// The other entry only passes bytes on. Every decision about the request stays at the entry that has its caller.
package tunnel
