// Package keys implements the keys commands, which create the certificates and keys of nodes.
package keys
