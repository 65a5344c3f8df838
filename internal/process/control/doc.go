// Package control runs the process of one replica of the control log.
package control
