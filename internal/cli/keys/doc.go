// Package keys is the command line's part that makes the keys of nodes.
package keys
