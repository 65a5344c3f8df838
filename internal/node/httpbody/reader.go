package httpbody

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// smallBytes is how much of each body is read without a turn.
	smallBytes = 128 << 10
	// turnTimeout is how long a large body may take once it is its turn.
	turnTimeout = time.Second
	// penalty is how long a peer gets no turn after it has used one in vain. Its small bodies are read meanwhile.
	penalty = 30 * time.Second
)

// TooLargeError is returned for a body of more bytes than allowed.
type TooLargeError struct {
	// Most is the allowed number of bytes.
	Most int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Most)
}

// Reader reads bodies for many peers. Together they occupy the small part of each and one large body.
type Reader interface {
	// Read reads a body of at most most bytes. A large one waits for its turn until ctx ends; cancel aborts the
	// body's source. The turn ends with the body's Close.
	Read(ctx context.Context, peer string, r io.Reader, most int64, cancel func()) (Body, error)
}

// Body is a body that was read.
type Body struct {
	// Bytes are its bytes, valid until Close.
	Bytes []byte

	done func()
}

// Close ends the use of the body.
func (b Body) Close() {
	if b.done != nil {
		b.done()
	}
}

type reader struct {
	turn chan struct{}

	mu sync.Mutex
	// penalized holds until when each peer gets no turn.
	penalized map[string]time.Time
}

// NewReader returns a Reader.
func NewReader() Reader {
	return &reader{turn: make(chan struct{}, 1), penalized: map[string]time.Time{}}
}

// Read implements Reader.
func (x *reader) Read(ctx context.Context, peer string, r io.Reader, most int64, cancel func()) (Body, error) {
	small := min(most, smallBytes)
	var b bytes.Buffer
	n, err := io.CopyN(&b, r, small+1)
	switch {
	case err == io.EOF:
		return Body{Bytes: b.Bytes()}, nil
	case err != nil:
		return Body{}, err
	case n > most || x.isPenalized(peer, time.Now()):
		return Body{}, &TooLargeError{Most: small}
	}
	select {
	case x.turn <- struct{}{}:
	case <-ctx.Done():
		return Body{}, fmt.Errorf("waiting to read a large answer: %w", ctx.Err())
	}
	end := func() { <-x.turn }
	timer := time.AfterFunc(turnTimeout, cancel)
	all, err := readRest(b.Bytes(), r, most)
	if !timer.Stop() || err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			x.penalize(peer, time.Now())
		}
		end()
		if err == nil {
			err = context.DeadlineExceeded
		}
		return Body{}, err
	}
	return Body{Bytes: all, done: end}, nil
}

// readRest reads the rest of a body that has begun. It allocates what arrives, not twice as much.
func readRest(begun []byte, r io.Reader, most int64) ([]byte, error) {
	pieces, total := [][]byte{begun}, int64(len(begun))
	for {
		piece, err := readPiece(r)
		pieces, total = append(pieces, piece), total+int64(len(piece))
		switch {
		case total > most:
			return nil, &TooLargeError{Most: most}
		case err == io.EOF:
			return bytes.Join(pieces, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// readPiece reads a part of a body. The error is io.EOF only if the body has ended as a whole.
func readPiece(r io.Reader) ([]byte, error) {
	const size = 1 << 20
	piece, n := make([]byte, size), 0
	for n < size {
		m, err := r.Read(piece[n:])
		n += m
		if err != nil {
			return piece[:n], err
		}
	}
	return piece, nil
}

func (x *reader) isPenalized(peer string, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now.Before(x.penalized[peer])
}

// penalize records that a peer has used its turn in vain.
func (x *reader) penalize(peer string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p, until := range x.penalized {
		if !now.Before(until) {
			delete(x.penalized, p)
		}
	}
	x.penalized[peer] = now.Add(penalty)
}
