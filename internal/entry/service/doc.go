// Package service calls plain services over HTTP/1.1 and runs non-idempotent
// calls at most once.
//
// A non-idempotent call is claimed in the control log and dispatched once on a
// connection of its own. Its outcome is recorded in the log before the caller is
// answered. docs/interfaces/service.md specifies the wire format.
package service
