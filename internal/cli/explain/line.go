package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// line is one log line.
type line struct {
	Time    string         `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// parse returns the log line in b, and false if there is none. It skips a
// prefix, as log collectors add.
func parse(b []byte) (line, bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return line{}, false
	}
	var l line
	d := json.NewDecoder(bytes.NewReader(b[at:]))
	// Numbers stay as they were written.
	d.UseNumber()
	if err := d.Decode(&l); err != nil || l.Message == "" {
		return line{}, false
	}
	return l, true
}

// text returns a string field, or an empty string if the field is missing.
func (l line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// number returns an integer field, or -1 if the field is missing.
func (l line) number(name string) int64 {
	n, ok := l.Fields[name].(json.Number)
	if !ok {
		return -1
	}
	v, err := n.Int64()
	if err != nil {
		return -1
	}
	return v
}

// millis returns a field in milliseconds, or zero if the field is missing.
func (l line) millis(name string) time.Duration {
	return time.Duration(max(0, l.number(name))) * time.Millisecond
}

// forEachLine calls visit with every log line.
func forEachLine(logs []io.Reader, visit func(l line)) error {
	for _, r := range logs {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			if l, ok := parse(scanner.Bytes()); ok {
				visit(l)
			}
		}
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}
