// Package process runs stand-ins as processes of their own.
package process
