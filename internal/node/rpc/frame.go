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

// header opens each stream.
type header struct {
	// Name is the method's or notice's name.
	Name string `cbor:"name"`
	// Timeout is the rest of the caller's deadline in nanoseconds; zero for none.
	Timeout int64 `cbor:"timeout"`
	// Body is the encoded request.
	Body []byte `cbor:"body"`
}

// answer closes each call.
type answer struct {
	// Failure is set when the call failed.
	Failure *verdict.Error `cbor:"failure"`
	// Body is the encoded answer.
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
	// A peer that lies about its length costs no memory before the bytes are here.
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return zero, err
	}
	if len(b) != int(n) {
		return zero, io.ErrUnexpectedEOF
	}
	return codec.Unmarshal[T](b)
}
