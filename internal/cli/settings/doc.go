// Package settings implements the settings commands, which use the operator API
// of any entry, and the offline check of settings files.
package settings
