// Package settings is the command line towards the operators' interface of any
// entry, and the check of settings files without a running system.
package settings
