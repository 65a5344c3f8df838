package explain

import (
	"bytes"
	"encoding/json"
)

// line is one log line.
type line struct {
	Time    string         `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// parse returns the log line in b and false when there is none; what stands
// before it, as collectors of logs add, is passed over.
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

// text returns a field as text, empty when it isn't there.
func (l line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}
