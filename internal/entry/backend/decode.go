package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hornbeamwood/internal/node/inbound"
)

// decodeBody decodes the body of a request.
func decodeBody[T any](w http.ResponseWriter, r *http.Request, limit int64) (v T, err error) {
	b, err := inbound.ReadBody(w, r, limit, time.Time{})
	if err != nil {
		return v, fmt.Errorf("the body can't be read: %w", err)
	}
	if err := inbound.ReserveDecoded(r.Context(), b); err != nil {
		return v, fmt.Errorf("the body can't be decoded: %w", err)
	}
	return Decode[T](b)
}

// Decode decodes a JSON text. It rejects duplicate fields, deep nesting and trailing bytes.
//
// Of duplicate fields the standard decoder takes the last value, and another
// program may take the first. A server and its entry would then disagree about its state.
func Decode[T any](b []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if err := checkValue(d, 0); err != nil {
		return v, fmt.Errorf("the body is not the JSON that is expected: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return v, fmt.Errorf("the body holds bytes after its JSON value")
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("the body is not the JSON that is expected: %w", err)
	}
	return v, nil
}

// checkValue reads one value and returns an error for duplicate fields in an object.
func checkValue(d *json.Decoder, depth int) error {
	if depth > MaxNesting {
		return fmt.Errorf("it is nested deeper than %d", MaxNesting)
	}
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return checkObject(d, depth)
	case json.Delim('['):
		return checkArray(d, depth)
	}
	return nil
}

func checkArray(d *json.Decoder, depth int) error {
	for d.More() {
		if err := checkValue(d, depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func checkObject(d *json.Decoder, depth int) error {
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		// The standard decoder matches field names case-insensitively.
		folded := strings.ToLower(name)
		if seen[folded] {
			return fmt.Errorf("the field %q stands twice", name)
		}
		seen[folded] = true
		if err := checkValue(d, depth+1); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}
