package service

import (
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
)

// Answer is a service's whole answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers that go to the caller.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Verdict is Ran, or MayHaveRun for a server error that says nothing.
	Verdict verdict.Verdict
	// Repeated is true when the answer comes from the record of an earlier call.
	Repeated bool
}

// returned are the headers of a service's answer that go to the caller and into the record.
var returned = []string{"Content-Type", "Content-Language", "Location", "Etag", "Last-Modified"}

// verdictOf returns what an answer with the given status proves.
//
// A server error can come before, in the middle of or after the work; calling
// it ran would have an operator book a call that perhaps never took effect.
func verdictOf(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// record returns a as the ledger records it.
func (a Answer) record() ledger.Answer {
	r := ledger.Answer{Status: a.Status, Body: a.Body}
	for _, n := range returned {
		for _, v := range a.Header.Values(n) {
			r.Headers = append(r.Headers, ledger.Header{Name: n, Value: v})
		}
	}
	return r
}

// answerOf returns the recorded answer.
func answerOf(r ledger.Answer) Answer {
	a := Answer{
		Status:   r.Status,
		Header:   make(http.Header, len(r.Headers)),
		Body:     r.Body,
		Verdict:  verdictOf(r.Status),
		Repeated: true,
	}
	for _, h := range r.Headers {
		a.Header.Add(h.Name, h.Value)
	}
	return a
}
