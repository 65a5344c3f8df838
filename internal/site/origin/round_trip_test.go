package origin

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against messages that their receivers can't read.
func TestMessagesAreDecodedToWhatWasEncoded(t *testing.T) {
	codectest.Method(t, softwareMethod)
	codectest.Method(t, recordMethod)
	codectest.Method(t, findMethod)
}
