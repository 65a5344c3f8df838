package section

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against log entries, results and snapshots that a replica can't read.
func TestStateIsDecodedToWhatWasEncoded(t *testing.T) {
	codectest.RoundTrip[Edit](t)
	codectest.RoundTrip[snapshotState](t)
	codectest.RoundTrip[Outcome](t)
	codectest.RoundTrip[Query](t)
	codectest.RoundTrip[Changes](t)
}
