// Package control is an entry's client of the control log.
package control
