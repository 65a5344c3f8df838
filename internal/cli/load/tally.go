package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Row is the result of one class of requests.
type Row struct {
	// Class is the name of the class.
	Class string `json:"class"`
	// Sent, Whole, Refused and Failed count requests. Whole counts complete responses, Refused those with status 429 or 503.
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// P50, P95 and P99 are milliseconds to the first token, or to the response of a plain service.
	P50 float64 `json:"p50-millis"`
	P95 float64 `json:"p95-millis"`
	P99 float64 `json:"p99-millis"`
	// PromptTokens, ComputedTokens and ImportedBytes are sums over the complete responses.
	PromptTokens   int64 `json:"prompt-tokens"`
	ComputedTokens int64 `json:"computed-tokens"`
	ImportedBytes  int64 `json:"imported-bytes"`
}

// tally counts outcomes by class.
type tally struct {
	mu         sync.Mutex
	rows       map[string]*Row
	histograms map[string]*hdrhistogram.Histogram
	inFlight   int
	notSent    int
}

func newTally() *tally {
	return &tally{rows: make(map[string]*Row), histograms: make(map[string]*hdrhistogram.Histogram)}
}

// begin counts a request before it is sent. It returns false if too many are in flight.
func (t *tally) begin(class string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= maxInFlight {
		t.notSent++
		return false
	}
	if t.rows[class] == nil {
		t.rows[class] = &Row{Class: class}
		t.histograms[class] = hdrhistogram.New(minMicros, maxMicros, significantDigits)
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
		_ = t.histograms[o.class].RecordValue(min(max(o.first.Microseconds(), minMicros), maxMicros))
	case o.status == 429 || o.status == 503:
		r.Refused++
	default:
		r.Failed++
	}
}

// Result is the result of a run.
type Result struct {
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// NotSent counts requests that were skipped because too many were in flight.
	NotSent int `json:"not-sent"`
	// Rows holds a row for each class, ordered by name.
	Rows []Row `json:"rows"`
}

func (t *tally) result(took time.Duration) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{Seconds: took.Seconds(), NotSent: t.notSent}
	for class, row := range t.rows {
		h := t.histograms[class]
		row.P50, row.P95, row.P99 = quantileMillis(h, 50), quantileMillis(h, 95), quantileMillis(h, 99)
		r.Rows = append(r.Rows, *row)
	}
	slices.SortFunc(r.Rows, func(a, b Row) int { return cmp.Compare(a.Class, b.Class) })
	return r
}

func quantileMillis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// totals returns the counts over all classes and the requests in flight.
func (t *tally) totals() (sent, whole, refused, failed, inFlight int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		sent, whole = sent+r.Sent, whole+r.Whole
		refused, failed = refused+r.Refused, failed+r.Failed
	}
	return sent, whole, refused, failed, t.inFlight
}
