package httphead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport checks the responses that an http.Transport reads.
type transport struct {
	*http.Transport
}

// NewTransport returns an http.RoundTripper for plain HTTP/1 that uses a copy of t. A response is an error if Check refuses its head
// or that of an informational one, a malformed trailer is one at the end of the body. Their connections aren't used again.
func NewTransport(t *http.Transport) http.RoundTripper {
	t = t.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTransportConn(c), nil
	}
	return &transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(q *http.Request) (*http.Response, error) {
	x := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: x.begin, Got1xxResponse: x.checkInformational}
	r, err := t.Transport.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		x.end(false)
		return nil, err
	}
	if err := Check(r); err != nil {
		_ = r.Body.Close()
		x.end(false)
		return nil, err
	}
	r.Request = q
	if r.Body == http.NoBody {
		x.end(true)
		return r, nil
	}
	r = withCheckedTrailer(r)
	r.Body = &exchangeBody{ReadCloser: r.Body, exchange: x}
	return r, nil
}
