// Package rowtable holds rows that processes of a site watch. Each row has the
// revision of its last change, so that a watcher gets just the rows that it lacks.
package rowtable
