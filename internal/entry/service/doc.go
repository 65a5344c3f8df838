// Package service calls plain services over HTTP/1.1, non-idempotent calls at
// most once.
//
// A non-idempotent call is claimed in the control log, dispatched once on a
// connection of its own, its outcome is recorded in the log, and only then is
// it answered. docs/interfaces/service.md lists the wire format.
package service
