package tunnel

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against messages that their receivers can't read.
func TestMessagesAreDecodedToWhatWasEncoded(t *testing.T) {
	codectest.Method(t, open)
	codectest.Notice(t, backoffNotice)
}
