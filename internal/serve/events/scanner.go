package events

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event in bytes; tokens are a few bytes each.
const maxEvent = 256 << 10

// ErrTooLong means that an event has more bytes than any real one.
var ErrTooLong = errors.New("events: an event is too long")

// ErrMalformed means that the stream holds something that is no event.
var ErrMalformed = errors.New("events: what came is no event")

// Event is one whole event.
type Event struct {
	// ID is the event's number; it rises by one with each event of a stream.
	ID int64
	// Numbered says that the event has a number.
	Numbered bool
	// Raw is the event as it came, with the empty line behind it.
	Raw []byte
}

// Scanner reads events.
type Scanner interface {
	// Next returns the next event; its bytes hold until the next call. io.EOF
	// means that the stream ended between two events.
	Next() (Event, error)
	// Buffered returns whether bytes of a further event are there already.
	Buffered() bool
}

type scanner struct {
	reader *bufio.Reader
	raw    []byte
}

// NewScanner returns a Scanner of r.
func NewScanner(r io.Reader) Scanner {
	return &scanner{reader: bufio.NewReaderSize(r, 2<<10)}
}

// Next implements Scanner.
func (s *scanner) Next() (Event, error) {
	e := Event{}
	s.raw = s.raw[:0]
	for {
		begin := len(s.raw)
		if err := s.line(); err != nil {
			if errors.Is(err, io.EOF) && len(s.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		l := bytes.TrimRight(s.raw[begin:], "\r\n")
		if len(l) == 0 {
			if begin == 0 {
				s.raw = s.raw[:0]
				continue
			}
			e.Raw = s.raw
			return e, nil
		}
		if err := e.field(l); err != nil {
			return Event{}, err
		}
	}
}

// Buffered implements Scanner.
func (s *scanner) Buffered() bool {
	return s.reader.Buffered() > 0
}

// line appends the next line with its end to raw.
func (s *scanner) line() error {
	for {
		b, err := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, b...)
		if len(s.raw) > maxEvent {
			return ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// field takes one line of an event: a name, a colon and a value.
func (e *Event) field(l []byte) error {
	name, value, ok := bytes.Cut(l, []byte(":"))
	if !ok {
		return ErrMalformed
	}
	if string(name) != "id" {
		return nil
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return ErrMalformed
	}
	e.ID, e.Numbered = n, true
	return nil
}
