package backend

import (
	"bytes"
	"net/http"
	"strconv"
)

// Message is a request as it is sent.
type Message struct {
	// Method, Target and Host are sent byte for byte.
	Method, Target, Host string
	// Header holds all other headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// MaySend, if set, is asked right before the message is written; connecting may have taken long.
	MaySend func() bool
	// MayRepeat is set if the request may be sent once more when its response doesn't come.
	MayRepeat bool
}

// firstWriteBytes is how much of a message is sent in one write, before the response is read.
const firstWriteBytes = 16 << 10

// split returns the part of the message that is written at once, and the rest of the body.
func (m Message) split() (first, rest []byte) {
	first = m.head()
	n := min(len(m.Body), max(0, firstWriteBytes-len(first)))
	return append(first, m.Body[:n]...), m.Body[n:]
}

// head returns the request line and the headers.
//
// The content length is always computed here. One given by a caller, in addition to chunked
// encoding or twice, could hide a second request inside the first.
func (m Message) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	b.WriteString("\r\n")
	for name, values := range m.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(m.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
