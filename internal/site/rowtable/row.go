package rowtable

// Row is one record of a replica's table.
type Row struct {
	// Rows are encoded without field names: a large site has thousands.
	_ struct{} `cbor:",toarray"`
	// Topic determines the type of the value.
	Topic Topic
	// Key identifies the row within its topic.
	Key string
	// Value is the encoded value; empty when the row was removed.
	Value []byte
}

// Topic is a kind of row.
type Topic uint8
