package orders

import (
	"hornbeamwood/internal/base/codec"
)

// Outstanding is an order that may not have ended. The lease's note lists all of them, so that the next holder can recover them.
type Outstanding struct {
	// Engine and Incarnation identify the engine.
	Engine      string `cbor:"engine"`
	Incarnation uint64 `cbor:"incarnation"`
	// Order is the order with the fencing number of the holder that sent it.
	Order Order `cbor:"order"`
}

// EncodeNote encodes the outstanding orders as the lease's note.
func EncodeNote(all []Outstanding) ([]byte, error) {
	return codec.Marshal(all)
}

// DecodeNote decodes the outstanding orders from a lease's note; an empty note has none.
func DecodeNote(note []byte) ([]Outstanding, error) {
	if len(note) == 0 {
		return nil, nil
	}
	return codec.Unmarshal[[]Outstanding](note)
}
