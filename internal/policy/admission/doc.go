// Package admission decides whether a request is taken or refused at once.
//
// A refusal is final and true: nothing of the request has run. It names the
// time after which the same request would be taken if the backlog drains.
package admission
