// Package rest tracks the backend servers that have asked an entry to send them nothing for a while.
package rest
