// Package caller serves callers over HTTP: the usual completion protocol, with
// and without streaming, and plain services.
//
// Each answer carries the request's ID and a verdict. A refusal is the protocol's
// error object with a verdict field next to it.
package caller
