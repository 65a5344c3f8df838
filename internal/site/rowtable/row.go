package rowtable

// Row is one piece of what a replica believes.
type Row struct {
	// Rows travel without the names of their fields: a large site has thousands.
	_ struct{} `cbor:",toarray"`
	// Topic says what the value is.
	Topic Topic
	// Key names the row within its topic.
	Key string
	// Value is the encoded value; empty when the row is gone.
	Value []byte
}

// Topic is a kind of rows.
type Topic uint8
