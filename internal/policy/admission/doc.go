// Package admission decides whether a request is admitted or refused at once.
//
// A refusal is final: no part of the request has run. It states the time after
// which the same request would be admitted if the backlog drains.
package admission
