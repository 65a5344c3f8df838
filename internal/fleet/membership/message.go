package membership

// Message is one gossip message between two entries of a cell; exactly one field is set.
type Message struct {
	// Push has the announcements that the sender received directly since its last Push.
	Push *Push `cbor:"u,omitempty"`
	// Pull requests the rows that are newer at the receiver.
	Pull *Pull `cbor:"p,omitempty"`
	// Answer is the reply to a Pull.
	Answer *Answer `cbor:"a,omitempty"`
}

// Envelope is a Message with its destination entry.
type Envelope struct {
	// To is the receiving entry's identity.
	To string
	// Message is the message to send.
	Message Message
}

// Push has the announcements that the sender received directly from backend servers, and the work that it sent to them.
type Push struct {
	// Stamp is the sender's clock reading.
	Stamp Stamp `cbor:"t"`
	// Rows are the servers that sent their announcements to the sender.
	Rows []Row `cbor:"s,omitempty"`
	// Work is the work that the sender sent to servers since its last Push.
	Work []WorkRow `cbor:"w,omitempty"`
}

// Pull lists the versions that the sender has; ages in the Answer are counted from the time at which the Pull was sent.
type Pull struct {
	// Round increases with each Pull of one entry.
	Round uint64 `cbor:"r"`
	// Versions lists the servers in the sender's table.
	Versions []Version `cbor:"v"`
}

// Version identifies the newest announcement of one server that the sender of a Pull has.
type Version struct {
	_        struct{} `cbor:",toarray"`
	Digest   uint64
	Sequence uint64
	Leaving  bool
}

// Answer holds the rows that are newer at the receiver of a Pull than at its sender.
type Answer struct {
	// Round is that of the Pull.
	Round uint64 `cbor:"r"`
	// Stamp is the sender's clock reading, which was taken after the Pull was sent.
	Stamp Stamp `cbor:"t"`
	// Rows are the servers with newer announcements.
	Rows []Row `cbor:"s,omitempty"`
}

// Stamp is a reading of an entry's monotonic clock.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the entry's; readings of different incarnations are not comparable.
	Incarnation uint32
	// Millis is the time since the entry started, rounded down.
	Millis int64
}

// WorkRow counts the requests that one entry sent to one server since its last Push.
type WorkRow struct {
	_ struct{} `cbor:",toarray"`
	// Server is the upper half of the Key of the backend server's identity.
	Server uint32
	// Requests is the number of requests.
	Requests int
	// Tokens is the number of their prefill tokens.
	Tokens int64
}
