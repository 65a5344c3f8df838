// Package keys creates and loads the X.509 certificates and private keys with
// which the system's processes authenticate to each other.
package keys
