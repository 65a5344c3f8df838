// Package tcp opens TCP connections that notice a peer that has gone silent.
package tcp
