package quic

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against messages that their receivers can't read.
func TestMessagesAreDecodedToWhatWasEncoded(t *testing.T) {
	codectest.Notice(t, gossip)
	codectest.Method(t, suspect)
}
