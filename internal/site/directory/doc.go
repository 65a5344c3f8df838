// Package directory holds what backend servers announce of themselves: which
// incarnation is the newest, whether it leaves, and who lives at an address.
package directory
