// Package reach decides on which path an entry connects to a backend server: directly, or in a tunnel through
// another entry.
//
// A failed direct connection alone doesn't tell whether the server is lost or the entry is cut off from it. The
// outcome of a tunnel does. Nothing here performs I/O, and times are arguments.
package reach
