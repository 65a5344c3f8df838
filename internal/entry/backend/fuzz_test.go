package backend

import (
	"net/http"
	"testing"
)

// fuzzPath checks that the handler answers any body with a documented status and does not panic.
func fuzzPath(f *testing.F, path string, seeds ...string) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		h, _ := newTestHandler(t, &recorder{})
		w := post(h, path, validKey, string(body))
		switch w.Code {
		case http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		default:
			t.Errorf("status %d for %q", w.Code, body)
		}
	})
}

func FuzzAnnouncement(f *testing.F) {
	fuzzPath(f, "/fleet/announcements", validAnnouncement, `{"identity":"a","identity":"b"}`, `[[[[[[[[[[[`, `{"load":{"prefill-rate":1e999}}`)
}

func FuzzCacheEvents(f *testing.F) {
	fuzzPath(f, "/fleet/cache-events",
		`{"identity":"a","incarnation":1,"first":1,"events":[]}`,
		`{"identity":"a","incarnation":1,"listing":{"sequence":9223372036854775807,"part":1,"parts":1,"keys":[]}}`,
		`{"identity":"a","incarnation":1,"first":9223372036854775807,"events":[{"kind":"evicted","key":"00"}]}`)
}
