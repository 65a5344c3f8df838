package keys

import (
	"crypto/tls"
	"net"
	"testing"
)

// On a network without key files, two independently started processes must be able
// to connect, and the handshake must provide the peer's name and role.
func TestOpenRingsReachEachOther(t *testing.T) {
	server, client := mustOpenRing(t, "a", Control), mustOpenRing(t, "b", Entry)
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.TLS("test"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer := make(chan tls.ConnectionState, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		t := c.(*tls.Conn)
		if t.Handshake() == nil {
			peer <- t.ConnectionState()
		}
		_, _ = c.Read(make([]byte, 1))
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(raw, client.TLS("test"))
	defer c.Close()
	if err := c.Handshake(); err != nil {
		t.Fatal(err)
	}
	subject := (<-peer).PeerCertificates[0].Subject
	if subject.CommonName != "b" || subject.OrganizationalUnit[0] != string(Entry) {
		t.Errorf("the server saw %v", subject)
	}
	if mustOpenRing(t, "a", Control).ResetKey() != server.ResetKey() {
		t.Error("a restarted process can't reset its predecessor's connections")
	}
}

func mustOpenRing(t *testing.T, name string, role Role) Ring {
	t.Helper()
	r, err := NewOpenRing(name, role)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
