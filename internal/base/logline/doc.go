// Package logline writes log lines without ever blocking the caller.
package logline
