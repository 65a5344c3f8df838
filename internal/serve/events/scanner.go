package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
)

// maxEventBytes bounds the size of one event; tokens are a few bytes each.
const maxEventBytes = 256 << 10

// ErrTooLong means that an event exceeds the maximum size.
var ErrTooLong = errors.New("events: event is too long")

// ErrMalformed means that the stream contains something that is not an event.
var ErrMalformed = errors.New("events: malformed event")

// Event is one whole event.
type Event struct {
	// ID is the number of the event, which isn't negative; numbers rise with each event of a stream.
	ID int64
	// HasID is set if the event has an ID, HasData if it has data.
	HasID, HasData bool
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
}

// Scanner reads events.
type Scanner interface {
	// Next returns the next event, whose bytes are valid until the next call. io.EOF means that
	// the stream ended between two events.
	Next() (Event, error)
	// Buffered returns whether a further event has already arrived whole.
	Buffered() bool
}

// eventEnds end an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

type scanner struct {
	reader *bufio.Reader
	raw    []byte
	// afterCR is set if the last line ended with a carriage return alone.
	afterCR bool
}

// NewScanner returns a Scanner that reads from r.
func NewScanner(r io.Reader) Scanner {
	return &scanner{reader: bufio.NewReaderSize(r, 2<<10)}
}

// Next implements Scanner.
func (s *scanner) Next() (Event, error) {
	e := Event{}
	s.raw = s.raw[:0]
	for {
		start, afterCR := len(s.raw), s.afterCR
		if err := s.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(s.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(s.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				s.raw = s.raw[:0]
				continue
			}
			e.Raw = s.raw
			return e, nil
		}
		if err := e.parseField(line, afterCR && start > 0); err != nil {
			return Event{}, err
		}
	}
}

// Buffered implements Scanner.
func (s *scanner) Buffered() bool {
	b, err := s.reader.Peek(s.reader.Buffered())
	b = bytes.TrimLeft(b, "\r\n")
	return err == nil && slices.ContainsFunc(eventEnds, func(end []byte) bool { return bytes.Contains(b, end) })
}

// readLine appends the next line, including its end, to raw. Lines end with a carriage return, a line feed or both.
func (s *scanner) readLine() error {
	start := len(s.raw)
	for {
		if _, err := s.reader.Peek(1); err != nil {
			return err
		}
		b, _ := s.reader.Peek(s.reader.Buffered())
		i := bytes.IndexByte(b, '\n')
		if i >= 0 {
			b = b[:i+1]
		}
		if c := bytes.IndexByte(b, '\r'); c >= 0 {
			i, b = c, b[:c+1]
		}
		s.take(b)
		if len(s.raw) > maxEventBytes {
			return ErrTooLong
		}
		if i >= 0 {
			return s.readLineEnd(len(s.raw) == start+1)
		}
	}
}

// readLineEnd completes the end of a line. Where lines end with a carriage return alone, an empty one doesn't wait for
// what follows: the event is whole.
func (s *scanner) readLineEnd(empty bool) error {
	if s.raw[len(s.raw)-1] == '\n' {
		s.afterCR = false
		return nil
	}
	if empty && s.afterCR && s.reader.Buffered() == 0 {
		return nil
	}
	b, err := s.reader.Peek(1)
	if err != nil {
		return err
	}
	s.afterCR = b[0] != '\n'
	if !s.afterCR {
		s.take(b)
	}
	return nil
}

// take moves the next bytes, which are buffered, to raw.
func (s *scanner) take(b []byte) {
	s.raw = append(s.raw, b...)
	_, _ = s.reader.Discard(len(b))
}

// parseField parses one line of an event: a name, a colon and a value. Data that contains a carriage return goes on in a
// line without a colon.
func (e *Event) parseField(line []byte, afterCR bool) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok && (!afterCR || string(name) == "id") {
		return ErrMalformed
	}
	switch string(name) {
	case "data":
		e.HasData = true
	case "id":
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || n < 0 {
			return ErrMalformed
		}
		e.ID, e.HasID = n, true
	}
	return nil
}

// clone returns the event with bytes of its own.
func (e Event) clone() Event {
	e.Raw = bytes.Clone(e.Raw)
	return e
}
