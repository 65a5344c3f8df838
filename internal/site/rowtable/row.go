package rowtable

import "hornbeamwood/internal/base/codec"

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

// Unreadable is the topic of a row that was received and can't be read.
const Unreadable Topic = 0

// Rows are the rows of a message. Each that can't be read is decoded as a row with the topic Unreadable, so that it
// doesn't keep the others from the receiver.
type Rows []Row

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *Rows) UnmarshalCBOR(b []byte) error {
	all, unreadable, err := codec.UnmarshalList[Row](b)
	if err != nil {
		return err
	}
	*r = append(all, make([]Row, unreadable)...)
	return nil
}

// Unreadable returns how many of the rows can't be read.
func (r Rows) Unreadable() int {
	n := 0
	for _, x := range r {
		if x.Topic == Unreadable {
			n++
		}
	}
	return n
}
