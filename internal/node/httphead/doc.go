// Package httphead reads the heads of HTTP responses that servers send.
package httphead
