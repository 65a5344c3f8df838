// Package caller serves callers over HTTP: the usual completion protocol,
// streamed and not, and plain services.
//
// Each answer carries the request's id and a verdict; a refusal is the
// protocol's error object with the verdict beside it.
package caller
