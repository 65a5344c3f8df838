// Package tcp opens TCP connections that detect an unresponsive peer within seconds.
package tcp
