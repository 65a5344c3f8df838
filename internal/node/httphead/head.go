package httphead

import (
	"bufio"
	"errors"
	"net/http"
)

// maxInformational bounds the informational responses before the final one.
const maxInformational = 8

var errInformational = errors.New("httphead: too many informational responses")

// Read reads the head of the final response to a request and skips informational ones. A head that Check refuses is an error,
// and a malformed trailer is one at the end of the body.
func Read(r *bufio.Reader, q *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		response, err := http.ReadResponse(r, q)
		if err != nil {
			return nil, err
		}
		if err := Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return withCheckedTrailer(response), nil
		}
	}
	return nil, errInformational
}
