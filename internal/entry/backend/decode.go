package backend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// read returns the value that the request's body encodes.
func read[T any](w http.ResponseWriter, r *http.Request, limit int64) (T, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var none T
		return none, fmt.Errorf("the body can't be read: %w", err)
	}
	return Decode[T](b)
}

// Decode returns the value that a JSON text encodes; it refuses a second value for one field, deep nesting and bytes after the value.
//
// The standard decoder takes the last of two values and another program may
// take the first; a server and its entry would then go by different states.
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

// checkValue reads one value and looks for fields that stand twice in one object.
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
		// The standard decoder matches names without regard to case.
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
