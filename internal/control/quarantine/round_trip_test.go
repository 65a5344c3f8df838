package quarantine

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against log entries, results and snapshots that a replica can't read.
func TestStateIsDecodedToWhatWasEncoded(t *testing.T) {
	codectest.RoundTrip[Command](t)
	codectest.RoundTrip[image](t)
	codectest.RoundTrip[Result](t)
	codectest.RoundTrip[Query](t)
	codectest.RoundTrip[Changes](t)
	codectest.RoundTrip[Listing](t)
}
