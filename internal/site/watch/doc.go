// Package watch sends rows of a control replica's row table to entries and other
// replicas by long polls between processes.
package watch
