package board

// Row is one piece of what a replica believes.
type Row struct {
	// Topic says what the value is.
	Topic Topic `cbor:"t"`
	// Key names the row within its topic.
	Key string `cbor:"k"`
	// Value is the encoded value; empty when the row is gone.
	Value []byte `cbor:"v"`
}

// Topic is a kind of rows.
type Topic uint8
