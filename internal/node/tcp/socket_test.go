package tcp

import (
	"net"
	"testing"
)

// A server must see which VM opened a connection, although loopback addresses share an interface.
func TestDialFromConnectsFromTheAddressOfTheVM(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dial, err := DialFrom("127.0.0.9:7700")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		c, err := dial(t.Context(), l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		if got := accepted.RemoteAddr().(*net.TCPAddr); got.IP.String() != "127.0.0.9" {
			t.Errorf("connection from %s", got)
		}
	}
}

func TestDialFromRejectsAnAddressThatIsNone(t *testing.T) {
	if _, err := DialFrom("nowhere"); err == nil {
		t.Error("no error")
	}
}
