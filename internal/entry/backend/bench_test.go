package backend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkAnnouncement reports the CPU time of the handler, without the HTTP server, and the size of the body.
func BenchmarkAnnouncement(b *testing.B) {
	h, _ := newTestHandler(b, &recorder{})
	const body = `{"identity":"engine-001.bogota-norte","incarnation":1764720000000000000,"sequence":%d,"uptime-millis":86400000,"zone":"bogota-norte","address":"10.0.0.1:8000","kind":"engine","state":"ready","holdings":[{"model":"certificate-drafter","weight-version":"2026-11-30"}],"role":"drafting","checks-fencing":true,"load":{"sequence":%d,"age-millis":400,"running":7,"queued-tokens":41000,"prefill-rate":8123.4,"decode-rate":41.7,"max-running":64,"cache-pieces":400,"free-pieces":31}}`
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		if w := post(h, "/fleet/announcements", validKey, fmt.Sprintf(body, n, n)); w.Code != http.StatusOK {
			b.Fatal(w.Body)
		}
	}
	b.ReportMetric(float64(len(fmt.Sprintf(body, n, n))), "B/body")
}

// BenchmarkCacheEvents reports the CPU time per event in a batch of 64.
func BenchmarkCacheEvents(b *testing.B) {
	h, _ := newTestHandler(b, &recorder{})
	event := `{"kind":"inserted","key":"` + strings.Repeat("0a", 32) + `"}`
	body := `{"identity":"e","incarnation":1,"first":1,"events":[` + strings.Repeat(event+",", 63) + event + `]}`
	for b.Loop() {
		if w := post(h, "/fleet/cache-events", validKey, body); w.Code != http.StatusOK {
			b.Fatal(w.Body)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/64, "ns/event")
	b.ReportMetric(float64(len(body))/64, "B/event")
}
