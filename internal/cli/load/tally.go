package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Row is the result of one class of requests.
type Row struct {
	// Class is the class's name.
	Class string `json:"class"`
	// Sent, Whole, Refused and Failed count requests; Refused are those with 429 or 503.
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// P50, P95 and P99 are milliseconds to the first token, or to the answer of a plain service.
	P50 float64 `json:"p50-millis"`
	P95 float64 `json:"p95-millis"`
	P99 float64 `json:"p99-millis"`
	// PromptTokens, ComputedTokens and ImportedBytes are sums over the whole answers.
	PromptTokens   int64 `json:"prompt-tokens"`
	ComputedTokens int64 `json:"computed-tokens"`
	ImportedBytes  int64 `json:"imported-bytes"`
}

// tally collects outcomes.
type tally struct {
	mu         sync.Mutex
	rows       map[string]*Row
	histograms map[string]*hdrhistogram.Histogram
	inFlight   int
	dropped    int
}

func newTally() *tally {
	return &tally{rows: make(map[string]*Row), histograms: make(map[string]*hdrhistogram.Histogram)}
}

// begin counts a request that is sent, and returns false when too many are in flight.
func (t *tally) begin(class string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= maxInFlight {
		t.dropped++
		return false
	}
	if t.rows[class] == nil {
		t.rows[class] = &Row{Class: class}
		t.histograms[class] = hdrhistogram.New(lowest, highest, digits)
	}
	t.rows[class].Sent++
	t.inFlight++
	return true
}

func (t *tally) end(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	r := t.rows[o.class]
	switch {
	case o.whole:
		r.Whole++
		r.PromptTokens += o.prompt
		r.ComputedTokens += o.prompt - o.cached
		r.ImportedBytes += o.imported
		_ = t.histograms[o.class].RecordValue(min(max(o.first.Microseconds(), lowest), highest))
	case o.status == 429 || o.status == 503:
		r.Refused++
	default:
		r.Failed++
	}
}

// Result is what a run of load brought.
type Result struct {
	// Seconds is how long it took.
	Seconds float64 `json:"seconds"`
	// NotSent counts requests that were left out because too many were in flight.
	NotSent int `json:"not-sent"`
	// Rows are the classes by name.
	Rows []Row `json:"rows"`
}

func (t *tally) result(took time.Duration) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{Seconds: took.Seconds(), NotSent: t.dropped}
	for class, row := range t.rows {
		h := t.histograms[class]
		row.P50, row.P95, row.P99 = millis(h, 50), millis(h, 95), millis(h, 99)
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int { return cmp.Compare(a.Class, b.Class) })
	return r
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// sums returns the counts over all classes and the requests in flight.
func (t *tally) sums() (sent, whole, refused, failed, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		sent, whole = sent+r.Sent, whole+r.Whole
		refused, failed = refused+r.Refused, failed+r.Failed
	}
	return sent, whole, refused, failed, t.inFlight
}
