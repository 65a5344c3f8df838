package orders

import (
	"hornbeamwood/internal/base/codec"
)

// Outstanding is an order whose end is not known; the lease's note holds them, so that the next holder reads them back.
type Outstanding struct {
	// Engine and Incarnation name the engine.
	Engine      string `cbor:"engine"`
	Incarnation uint64 `cbor:"incarnation"`
	// Order is the order; its fencing number is that of the one who gave it.
	Order Order `cbor:"order"`
}

// EncodeNote returns the lease's note for the outstanding orders.
func EncodeNote(all []Outstanding) ([]byte, error) {
	return codec.Marshal(all)
}

// DecodeNote returns the outstanding orders of a lease's note; an empty note holds none.
func DecodeNote(note []byte) ([]Outstanding, error) {
	if len(note) == 0 {
		return nil, nil
	}
	return codec.Unmarshal[[]Outstanding](note)
}
