package caller

import (
	"testing"
	"time"

	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/salt"
)

// clockedSite is a site whose fetches may last until a fixed time.
type clockedSite struct {
	*fakeSite
	shared string
}

// fetchDeadline is the deadline of a fetch that starts now, in milliseconds on the servers' clock.
const fetchDeadline = 100_000

// FetchDeadline implements Site.
func (clockedSite) FetchDeadline() int64 { return fetchDeadline }

// SaveTarget implements Site.
func (clockedSite) SaveTarget(string, string, int) string { return "" }

// Salt implements Site.
func (s clockedSite) Salt(model string, version int64, _ string) salt.Salt {
	return salt.Salt{Model: model, Version: version, Shared: s.shared}
}

func preparedFetch(shared string, waited time.Duration) request.Dispatch {
	j := &job{gateway: &gateway{Config: Config{Site: clockedSite{&fakeSite{}, shared}}}, request: request.Request{Prompt: &request.Prompt{Model: "m", Parts: []request.Part{{ID: "a", Tokens: 9}}}}}
	d := request.Dispatch{Salt: "m/1", Fetch: []string{"store"}}
	j.prepare(&d, 1, time.Now().Add(-waited))
	return d
}

// Guards against a fetch that begins late and goes on while its part is freed, which was withdrawn right after the choice.
func TestFetchDeadlineCountsFromTheChoice(t *testing.T) {
	if d := preparedFetch("", 0); len(d.Fetch) != 1 || d.FetchDeadline < fetchDeadline-100 {
		t.Errorf("sent at once: %v until %d", d.Fetch, d.FetchDeadline)
	}
	if d := preparedFetch("", 3*time.Second); len(d.Fetch) != 1 || d.FetchDeadline > fetchDeadline-3000 {
		t.Errorf("sent 3 s after the choice: %v until %d, %d would be as if it was sent at once", d.Fetch, d.FetchDeadline, fetchDeadline)
	}
	if d := preparedFetch("", time.Minute); d.Fetch != nil {
		t.Errorf("sent a minute after the choice: %v until %d", d.Fetch, d.FetchDeadline)
	}
}

// Guards against a request that waits for a server and uses a text of the time before a workspace became isolated.
func TestSaltIsTheNewestOneWhenTheRequestIsSent(t *testing.T) {
	if d := preparedFetch("7", 0); d.Salt != "m/1//7" || d.Fetch != nil {
		t.Errorf("salt %q, fetched from %v", d.Salt, d.Fetch)
	}
}
