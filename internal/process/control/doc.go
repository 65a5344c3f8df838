// Package control runs one replica of the control log as a process.
package control
