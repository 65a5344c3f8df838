package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// readEvents returns all events of a stream and the error at its end.
func readEvents(r io.Reader) ([]string, error) {
	e := newEventReader(r)
	var events []string
	for {
		data, err := e.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

func TestEventReader(t *testing.T) {
	long := strings.Repeat("y", 3*readBuffer)
	cases := []struct {
		name, stream string
		want         []string
	}{
		{"plain", "data: a\n\ndata:b\n\n", []string{"a", "b"}},
		{"carriage returns", "data: a\r\n\r\n", []string{"a"}},
		{"comments and other fields", ": x\nevent: y\nid: 1\ndata: a\n\n", []string{"a"}},
		{"several lines", "data: a\ndata: b\n\n", []string{"a\nb"}},
		{"empty events", "\n\n: c\n\ndata: a\n\n", []string{"a"}},
		{"empty data", "data\n\n", []string{""}},
		{"cut before its empty line", "data: a\n\ndata: b\n", []string{"a"}},
		{"long", "data: " + long + "\n\n", []string{long}},
		{"another field's name", "database: a\n\n", nil},
	}
	for _, c := range cases {
		for _, r := range []io.Reader{strings.NewReader(c.stream), iotest.OneByteReader(strings.NewReader(c.stream))} {
			got, err := readEvents(r)
			if !errors.Is(err, io.ErrUnexpectedEOF) || strings.Join(got, "|") != strings.Join(c.want, "|") || len(got) != len(c.want) {
				t.Errorf("%s: got %q, %v", c.name, got, err)
			}
		}
	}
}

// An engine sends an endless line. Buffered without a limit, it would exhaust the
// entry's memory and end the streams of all callers.
func TestEndlessEventIsRefused(t *testing.T) {
	for _, line := range []string{"data: x", "data: x\n"} {
		endless := strings.NewReader(strings.Repeat(line, 2*maxEvent))
		if _, err := readEvents(endless); !errors.Is(err, errEventTooLarge) {
			t.Errorf("got %v", err)
		}
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[]}\n\n: c\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: a\r\ndata:b\r\n\r\nevent: x\n"))
	f.Add([]byte("data"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, err := readEvents(bytes.NewReader(stream))
		if err == nil {
			t.Fatal("the stream ended without an error")
		}
		split, _ := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		if strings.Join(whole, "\x00") != strings.Join(split, "\x00") {
			t.Fatalf("%q read byte by byte is %q", whole, split)
		}
		e := newEnvelope()
		for _, data := range whole {
			_ = e.decode([]byte(data))
		}
	})
}
