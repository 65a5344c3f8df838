// Package jsonscan scans JSON text without decoding it.
//
// It is intended for hot paths that read a few members of a large or frequent
// message. The text must be valid according to json.Valid. Invalid text may give
// an error or wrong members, but never a panic.
package jsonscan
