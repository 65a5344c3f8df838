package topic_test

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/topic"
	"hornbeamwood/internal/site/watch"
)

// Guards against rows whose values their receivers can't read.
func TestRowsAreDecodedToWhatWasEncoded(t *testing.T) {
	codectest.RoundTrip[topic.Document](t)
	codectest.RoundTrip[directory.Server](t)
	codectest.RoundTrip[[]string](t)
	codectest.RoundTrip[topic.StoreSummary](t)
	codectest.RoundTrip[topic.Leased[topic.StoreSummary]](t)
	codectest.RoundTrip[topic.Leased[int]](t)
	codectest.RoundTrip[topic.Leased[topic.StoreState]](t)
	codectest.RoundTrip[topic.Leased[bool]](t)
	codectest.RoundTrip[topic.EngineCache](t)
	codectest.RoundTrip[topic.LoadedWeights](t)
	codectest.RoundTrip[watch.Prefill](t)
	codectest.RoundTrip[share.Sum](t)
	codectest.RoundTrip[section.Evacuation](t)
	codectest.RoundTrip[suspicion.Period](t)
	codectest.RoundTrip[document.Document](t)
}
