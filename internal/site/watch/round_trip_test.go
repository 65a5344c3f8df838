package watch

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against messages that their receivers can't read.
func TestMessagesAreDecodedToWhatWasEncoded(t *testing.T) {
	codectest.Method(t, Watch)
	codectest.Method(t, Hints)
	codectest.Method(t, Exchange)
	codectest.Method(t, HolderStates)
	codectest.Method(t, Chunks)
	codectest.Notice(t, Prefills)
	codectest.Notice(t, PartUses)
	codectest.Notice(t, Loads)
	codectest.Method(t, Peers)
}
