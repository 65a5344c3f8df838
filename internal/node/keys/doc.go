// Package keys makes and loads the X.509 keys with which the system's
// processes prove to each other who they are.
package keys
