// Package process runs stand-ins as separate processes.
package process
