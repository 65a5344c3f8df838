package tunnel

import (
	"errors"
	"io"
	"net"
	"testing"
)

// Guards against a response in part that passes for whole through another entry: the server resets its connection during an
// upload, and the other entry's write takes the error of the socket.
func TestResetDuringAnUploadIsNoEndThroughATunnel(t *testing.T) {
	const (
		rounds      = 20
		uploadBytes = 16 << 20
	)
	address := newServer(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "part")
		_, _ = io.CopyN(io.Discard, c, uploadBytes/8)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	asker := newAsker(t, address, newEntry(t, address, nil))
	for i := range rounds {
		c := patientlyDialed(t, asker, address)
		go func() { _, _ = c.Write(make([]byte, uploadBytes)) }()
		if got, err := io.ReadAll(c); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("round %d: %q passes for whole", i+1, got)
		}
		_ = c.Close()
	}
}
