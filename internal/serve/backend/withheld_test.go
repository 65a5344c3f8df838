package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Guards against a request that reaches its server although it was quarantined while the connection was set up.
func TestMessageIsWithheldAfterConnecting(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n, _ := c.Read(make([]byte, 1))
		received <- n
	}()
	c := New(Config{Belongs: func(string, http.Header) bool { return true }})
	defer c.Close()
	m := Message{Method: http.MethodGet, Target: "/", Host: "h", MaySend: func() bool { return false }}
	_, err = c.Send(context.Background(), Target{ID: "s", Address: l.Addr().String()}, "a", m, Timing{Deadline: time.Now().Add(time.Second)})
	var e *Error
	if !errors.As(err, &e) || e.Reason != Withheld || e.Verdict != verdict.NotRun {
		t.Errorf("got %v", err)
	}
	if n := <-received; n != 0 {
		t.Error("the server got bytes of the request")
	}
}
