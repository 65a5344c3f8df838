// Package platform serves the health, readiness and metrics endpoints of a process.
package platform
