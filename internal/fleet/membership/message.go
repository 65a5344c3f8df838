package membership

// Message is one gossip message between two entries of a cell; exactly one field is set.
type Message struct {
	// Push tells what the sender heard itself since its last one.
	Push *Push `cbor:"u,omitempty"`
	// Pull asks for what the receiver knows better.
	Pull *Pull `cbor:"p,omitempty"`
	// Answer answers a Pull.
	Answer *Answer `cbor:"a,omitempty"`
}

// Envelope is a Message with the entry that it goes to.
type Envelope struct {
	// To is the receiving entry's identity.
	To string
	// Message is what the adapter sends.
	Message Message
}

// Push tells what backend servers told the sender itself, and what work it sent to them.
type Push struct {
	// Stamp is the sender's time.
	Stamp Stamp `cbor:"t"`
	// Rows are the servers that announced themselves to the sender.
	Rows []Row `cbor:"s,omitempty"`
	// Work is what the sender sent since its last Push.
	Work []WorkRow `cbor:"w,omitempty"`
}

// Pull tells what the sender knows; ages in the Answer are counted from when it was sent.
type Pull struct {
	// Round is a larger number with each Pull of one entry.
	Round uint64 `cbor:"r"`
	// Versions lists the servers that the sender knows.
	Versions []Version `cbor:"v"`
}

// Version is what the sender of a Pull knows of one server.
type Version struct {
	_        struct{} `cbor:",toarray"`
	Form     uint64
	Sequence uint64
	Leaving  bool
}

// Answer holds what the receiver of a Pull knows better than its sender.
type Answer struct {
	// Round is that of the Pull.
	Round uint64 `cbor:"r"`
	// Stamp is the sender's time; it proves when its clock had this reading at the earliest.
	Stamp Stamp `cbor:"t"`
	// Rows are the newer servers.
	Rows []Row `cbor:"s,omitempty"`
}

// Stamp is a reading of an entry's monotonic clock.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the entry's; readings of two incarnations have nothing to do with each other.
	Incarnation uint32
	// Millis is the time since the entry started, rounded down.
	Millis int64
}

// WorkRow is what one entry sent to one server since its last Push.
type WorkRow struct {
	_ struct{} `cbor:",toarray"`
	// Server is the upper half of the Key of the backend server's identity.
	Server uint32
	// Requests is the number of requests.
	Requests int
	// Tokens is the number of their prompt tokens that have to be computed.
	Tokens int64
}
