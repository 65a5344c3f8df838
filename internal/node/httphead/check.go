package httphead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus is the lowest status that a response can have.
const minStatus = 100

// Check returns an error unless the head of a response to a request that asks for no other protocol is sound: its status is
// one that HTTP has, and the names of its fields are tokens.
func Check(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("httphead: a response with status %03d", r.StatusCode)
	}
	return checkNames(r.Header)
}

// checkNames returns an error unless the names of the fields are tokens.
//
// The reader of net/http takes a name with a space for that of another field, so that a length or a coding which the line
// states is ignored, and what follows is misread.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("httphead: %q is not the name of a field", name)
		}
	}
	return nil
}
