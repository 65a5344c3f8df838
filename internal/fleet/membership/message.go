package membership

// Message is one gossip message between two entries of a cell; exactly one field is set.
type Message struct {
	// Pull asks for what the receiver knows better.
	Pull *Pull `cbor:"p,omitempty"`
	// Answer answers a Pull.
	Answer *Answer `cbor:"a,omitempty"`
	// Notice passes on at once that a server leaves.
	Notice *Notice `cbor:"n,omitempty"`
}

// Envelope is a Message with the entry that it goes to.
type Envelope struct {
	// To is the receiving entry's identity.
	To string
	// Message is what the adapter sends.
	Message Message
}

// Pull tells what the sender knows; ages in the Answer are counted from when it was sent.
type Pull struct {
	// Round is a larger number with each Pull of one entry.
	Round uint64 `cbor:"r"`
	// Versions lists the servers that the sender knows.
	Versions []Version `cbor:"v"`
	// Work lists the newest work reports that the sender knows.
	Work []WorkVersion `cbor:"w,omitempty"`
}

// Version is what the sender of a Pull knows of one server.
type Version struct {
	_           struct{} `cbor:",toarray"`
	Key         Key
	Incarnation uint64
	Sequence    uint64
	Form        uint64
	Leaving     bool
}

// WorkVersion is the newest work report that the sender of a Pull has from one entry.
type WorkVersion struct {
	_       struct{} `cbor:",toarray"`
	Entry   Key
	Version uint64
}

// Answer holds what the receiver of a Pull knows better than its sender.
type Answer struct {
	// Round is that of the Pull.
	Round uint64 `cbor:"r"`
	// Rows are the newer servers.
	Rows []Row `cbor:"s,omitempty"`
	// Work are the newer work reports.
	Work []WorkReport `cbor:"w,omitempty"`
}

// Notice passes on announcements that must not wait for a Pull; it makes nothing fresher.
type Notice struct {
	// Rows are the servers; their ages count from the receiver's last proof, so they are never taken as fresh.
	Rows []Row `cbor:"s"`
}
