package completion

import (
	"errors"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/route"
)

// meters count what the router does; docs/OPERATORS.md lists them.
type meters struct {
	whole, refused, failed, retried   *metrics.Counter
	inMemory, imported, recomputed    *metrics.Counter
	importBytes, exported, exportLost *metrics.Counter
	firstToken                        *metrics.Histogram
}

func newMeters(s *metrics.Set) *meters {
	if s == nil {
		s = metrics.NewSet()
	}
	return &meters{
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

// planned counts where the tokens of a dispatched prompt are to come from.
func (m *meters) planned(a *attempt, imports []importPiece) {
	by := map[route.Source]*metrics.Counter{route.InMemory: m.inMemory, route.Import: m.imported, route.Recompute: m.recomputed}
	for i, s := range a.decision.Plan {
		by[s.Source].Add(a.request.Pieces[i].Tokens)
	}
	m.recomputed.Add(a.request.Tail())
	for _, p := range imports {
		m.importBytes.AddInt64(p.Bytes)
	}
}

// ended counts how a request ended; io.EOF stands for a whole answer.
func (m *meters) ended(cause error) {
	switch {
	case errors.Is(cause, io.EOF):
		m.whole.Inc()
	case verdict.Of(cause) == verdict.NotRun:
		m.refused.Inc()
	default:
		m.failed.Inc()
	}
}
