// Package watch carries rows of a control replica's board to entries and other
// replicas by long polls between processes.
package watch
