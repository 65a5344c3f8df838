package httphead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// ReadTrailer reads the trailer after the last chunk of a body, with the empty line at its end. A malformed one is an error,
// and io.ErrUnexpectedEOF one that has no end. The caller bounds what r reads.
func ReadTrailer(r *bufio.Reader) error {
	fields, err := textproto.NewReader(r).ReadMIMEHeader()
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	}
	return checkNames(http.Header(fields))
}

// withCheckedTrailer returns the response with a body that ends with io.EOF only if the trailer is sound.
func withCheckedTrailer(r *http.Response) *http.Response {
	if len(r.TransferEncoding) > 0 && r.Body != http.NoBody {
		r.Body = &body{ReadCloser: r.Body, response: r}
	}
	return r
}

// body is the body of a response that may have a trailer.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
