package completion

import (
	"errors"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/route"
)

// routerMetrics are the metrics of the router; docs/OPERATORS.md lists them.
type routerMetrics struct {
	whole, refused, failed, retried   *metrics.Counter
	inMemory, imported, recomputed    *metrics.Counter
	importBytes, exported, exportLost *metrics.Counter
	firstToken                        *metrics.Histogram
}

func newRouterMetrics(s *metrics.Set) *routerMetrics {
	if s == nil {
		s = metrics.NewSet()
	}
	return &routerMetrics{
		whole:       s.NewCounter(`hornbeamwood_completions_total{result="whole"}`),
		refused:     s.NewCounter(`hornbeamwood_completions_total{result="refused"}`),
		failed:      s.NewCounter(`hornbeamwood_completions_total{result="failed"}`),
		retried:     s.NewCounter(`hornbeamwood_completion_retries_total`),
		inMemory:    s.NewCounter(`hornbeamwood_planned_prompt_tokens_total{source="memory"}`),
		imported:    s.NewCounter(`hornbeamwood_planned_prompt_tokens_total{source="import"}`),
		recomputed:  s.NewCounter(`hornbeamwood_planned_prompt_tokens_total{source="recompute"}`),
		importBytes: s.NewCounter(`hornbeamwood_planned_import_bytes_total`),
		exported:    s.NewCounter(`hornbeamwood_exported_pieces_total{result="sealed"}`),
		exportLost:  s.NewCounter(`hornbeamwood_exported_pieces_total{result="not-written"}`),
		firstToken:  s.NewHistogram(`hornbeamwood_first_token_seconds`),
	}
}

// planned counts the tokens of a dispatched prompt by their planned source.
func (m *routerMetrics) planned(a *attempt, imports []importPiece) {
	by := map[route.Source]*metrics.Counter{route.InMemory: m.inMemory, route.Import: m.imported, route.Recompute: m.recomputed}
	for i, s := range a.decision.Plan {
		by[s.Source].Add(a.request.Pieces[i].Tokens)
	}
	m.recomputed.Add(a.request.Tail())
	for _, p := range imports {
		m.importBytes.AddInt64(p.Bytes)
	}
}

// ended counts a request by its result; io.EOF stands for a complete answer.
func (m *routerMetrics) ended(cause error) {
	switch {
	case errors.Is(cause, io.EOF):
		m.whole.Inc()
	case verdict.Of(cause) == verdict.NotRun:
		m.refused.Inc()
	default:
		m.failed.Inc()
	}
}
