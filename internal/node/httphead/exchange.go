package httphead

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// exchange is a request of a transport with its response.
type exchange struct {
	// conn is nil while the exchange holds no connection.
	conn          atomic.Pointer[transportConn]
	informational atomic.Int32
}

// begin waits until the last response on the connection has been checked.
func (x *exchange) begin(i httptrace.GotConnInfo) {
	// A request that can't be written to one connection is sent on another.
	x.end(false)
	if c, ok := i.Conn.(*transportConn); ok {
		c.acquire()
		x.conn.Store(c)
	}
}

// end releases the connection.
func (x *exchange) end(reusable bool) {
	if c := x.conn.Swap(nil); c != nil {
		c.release(reusable)
	}
}

// checkInformational checks the head of an informational response.
func (x *exchange) checkInformational(_ int, fields textproto.MIMEHeader) error {
	if x.informational.Add(1) > maxInformational {
		return errInformational
	}
	return checkNames(http.Header(fields))
}

// exchangeBody is the body of a response. It ends the exchange.
type exchangeBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.exchange.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	b.exchange.end(false)
	return b.ReadCloser.Close()
}
