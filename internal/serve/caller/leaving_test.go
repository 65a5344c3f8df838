package caller

import (
	"net/http"
	"testing"
)

// Guards against requests to a server that has stated in a response that it leaves, also one without its stamp,
// and against a server that is left out because of a response of another server or to another request.
func TestEveryResponseTellsThatTheServerLeaves(t *testing.T) {
	const leaving = "A-Leaving: 1\r\n"
	for name, x := range map[string]struct {
		answer script
		want   bool
	}{
		"success":        {answerStatus(http.StatusOK, leaving+"A-Stamp: x\r\n"), true},
		"rejection":      {answerStatus(http.StatusServiceUnavailable, leaving+"A-Not-Run: 1\r\n"), true},
		"failure":        {answerStatus(http.StatusInternalServerError, leaving), true},
		"not found":      {answerStatus(http.StatusNotFound, leaving), true},
		"misdirected":    {answerStatus(http.StatusMisdirectedRequest, leaving), false},
		"nothing stated": {answerStatus(http.StatusOK, "A-Stamp: x\r\n"), false},
	} {
		f := newFixture(t, x.answer)
		f.request(t, "r", http.MethodPost, "/once/x")
		if _, ok := f.site.leaving.Load("s0"); ok != x.want {
			t.Errorf("%s: recorded as leaving: %t", name, ok)
		}
	}
}
