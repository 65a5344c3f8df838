// Package httpbody reads the bodies of HTTP answers from peers that may send bytes without end.
package httpbody
