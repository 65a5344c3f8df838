// Package rowtable holds rows that processes of a site watch: each row carries the
// number of its last change, so that a watcher gets just what it lacks.
package rowtable
