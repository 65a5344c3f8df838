// Package faultfile provides an in-memory data folder for tests of packages that
// store files. It loses unsynced data in a simulated crash, tears writes and
// returns errors on demand.
package faultfile
