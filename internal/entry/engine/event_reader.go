package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	readBuffer = 16 << 10
	// maxEvent bounds the memory that one event of a faulty engine can take.
	maxEvent = 1 << 20
)

var (
	errEventTooLarge = errors.New("an event is larger than 1 MiB")
	dataField        = []byte("data")
)

// eventReader splits a server-sent event stream into the data of its events.
type eventReader struct {
	lines *bufio.Reader
	line  []byte
	data  []byte
	empty bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, readBuffer)}
}

// next returns the data of the next event, valid until the next call. An event
// that is truncated before its empty line is reported as io.ErrUnexpectedEOF and
// never returned as data.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	e.empty = true
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && !e.empty {
			return e.data, nil
		}
		if err := e.add(line); err != nil {
			return nil, err
		}
	}
}

// add processes one line; comments and fields other than data are ignored.
func (e *eventReader) add(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, dataField) {
		return nil
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if len(e.data)+len(value) >= maxEvent {
		return errEventTooLarge
	}
	if !e.empty {
		e.data = append(e.data, '\n')
	}
	e.empty = false
	e.data = append(e.data, value...)
	return nil
}

// readLine returns one line without its line ending.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.lines.ReadSlice('\n')
	if err == nil {
		return trimEnd(line), nil
	}
	e.line = append(e.line[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.line) > maxEvent {
			return nil, errEventTooLarge
		}
		line, err = e.lines.ReadSlice('\n')
		e.line = append(e.line, line...)
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return trimEnd(e.line), err
}

func trimEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
