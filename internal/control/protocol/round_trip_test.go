package protocol

import (
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
)

// Guards against messages that their receivers can't read.
func TestMessagesAreDecodedToWhatWasEncoded(t *testing.T) {
	codectest.Method(t, InForce)
	codectest.Method(t, Holders)
	codectest.Method(t, Propose)
	codectest.Method(t, Read)
	codectest.Method(t, Confirm)
	codectest.Notice(t, Message)
	codectest.Method(t, Probe)
	codectest.Method(t, Status)
	codectest.Method(t, ChangeMember)
}
