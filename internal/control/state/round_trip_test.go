package state

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against log entries, results and snapshots that a replica can't read.
func TestStateIsDecodedToWhatWasEncoded(t *testing.T) {
	codectest.RoundTrip[Command](t)
	codectest.RoundTrip[image](t)
}
