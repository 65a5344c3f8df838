package service

import (
	"net/http"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
)

// Answer is the complete answer of a service.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers that go to the caller.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Verdict is Ran, or MayHaveRun for a server error without a verdict of the service.
	Verdict verdict.Verdict
	// Repeated is true when the answer was recorded for an earlier send of the call.
	Repeated bool
}

// returnedHeaders lists the headers of a service's answer that go to the caller and into the ledger.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Last-Modified"}

// verdictOf returns the verdict that an answer with the given status proves.
//
// A server error can occur before, during or after the work. With the verdict
// ran, an operator would account for a call that may never have taken effect.
func verdictOf(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

// record converts a to its form in the ledger.
func (a Answer) record() ledger.Answer {
	r := ledger.Answer{Status: a.Status, Body: a.Body}
	for _, n := range returnedHeaders {
		for _, v := range a.Header.Values(n) {
			r.Headers = append(r.Headers, ledger.Header{Name: n, Value: v})
		}
	}
	return r
}

// answerOf converts a recorded answer.
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
