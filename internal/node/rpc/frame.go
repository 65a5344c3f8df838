package rpc

import (
	"encoding/binary"
	"fmt"
	"io"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
)

// MaxFrame is the largest request or answer in bytes.
const MaxFrame = 16 << 20

const lengthBytes = 4

// header is the request on each stream.
type header struct {
	// Name is the name of the method or notice.
	Name string `cbor:"name"`
	// Timeout is the time left until the caller's deadline in nanoseconds; zero means none.
	Timeout int64 `cbor:"timeout"`
	// Body is the encoded request.
	Body []byte `cbor:"body"`
}

// answer is the reply to a call.
type answer struct {
	// Failure is set if the call failed.
	Failure *verdict.Error `cbor:"failure"`
	// Body is the encoded result.
	Body []byte `cbor:"body"`
}

func writeFrame[T any](w io.Writer, v T) error {
	b, err := codec.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > MaxFrame {
		return fmt.Errorf("rpc: a message of %d bytes is over the limit of %d", len(b), MaxFrame)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(b))
	binary.BigEndian.PutUint32(frame, uint32(len(b)))
	_, err = w.Write(append(frame, b...))
	return err
}

func readFrame[T any](r io.Reader) (T, error) {
	var zero T
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return zero, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrame {
		return zero, fmt.Errorf("rpc: a message of %d bytes is over the limit of %d", n, MaxFrame)
	}
	// Memory is allocated as bytes arrive, so that a false length costs no memory.
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return zero, err
	}
	if len(b) != int(n) {
		return zero, io.ErrUnexpectedEOF
	}
	return codec.Unmarshal[T](b)
}
