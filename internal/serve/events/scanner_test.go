package events

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// A server crashes in the middle of an event. Half an event that was forwarded would be joined
// with the same event of another server, and the caller would read text that no server wrote.
func TestPartialEventIsNotReturned(t *testing.T) {
	s := NewScanner(iotest.OneByteReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b")))
	e, err := s.Next()
	if err != nil || e.ID != 1 || string(e.Raw) != "id: 1\ndata: a\n\n" {
		t.Fatalf("got %+v %v", e, err)
	}
	if _, err := s.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	}
}

func TestStreamEndsBetweenEvents(t *testing.T) {
	s := NewScanner(strings.NewReader("weights: 3\nid: 7\ndata: a\r\n\r\n"))
	e, err := s.Next()
	if err != nil || e.ID != 7 || !e.HasID {
		t.Fatalf("got %+v %v", e, err)
	}
	if _, err := s.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v", err)
	}
}

func FuzzScanner(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\nid:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := NewScanner(strings.NewReader(text))
		total := 0
		for {
			e, err := s.Next()
			if err != nil {
				break
			}
			total += len(e.Raw)
		}
		if total > len(text) {
			t.Errorf("read %d bytes from %d", total, len(text))
		}
	})
}
