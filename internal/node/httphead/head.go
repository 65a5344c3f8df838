package httphead

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
)

const (
	// minStatus is the lowest status that a response can have.
	minStatus = 100
	// maxInformational bounds the informational responses before the final one.
	maxInformational = 8
)

var errInformational = errors.New("httphead: too many informational responses")

// Read reads the head of the final response to a request and skips informational ones. A status that HTTP doesn't have is an
// error, as is a switch of protocols, after which other bytes follow.
func Read(r *bufio.Reader, q *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		response, err := http.ReadResponse(r, q)
		if err != nil {
			return nil, err
		}
		if err := Check(response.StatusCode); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errInformational
}

// Check returns an error unless a response to a request that asks for no other protocol can have the status.
func Check(status int) error {
	if status < minStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("httphead: a response with status %03d", status)
	}
	return nil
}
