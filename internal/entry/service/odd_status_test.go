package service

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"hornbeamwood/internal/base/verdict"
)

// Guards against an answer, an outcome or a refusal whose status HTTP doesn't have.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	r := &http.Response{
		Header: http.Header{verdict.Header: {verdict.NotRun.String()}}, Body: io.NopCloser(strings.NewReader("")),
		Request: &http.Request{Method: http.MethodGet},
	}
	if a, err := readAnswer(r, 1); err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("got %+v, %v", a, err)
	}
}
