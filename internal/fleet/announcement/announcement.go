package announcement

// Announcement is the status that one backend server reports at one time.
type Announcement struct {
	// Identity identifies the backend server for its whole lifetime.
	Identity string `json:"identity" cbor:"identity"`
	// Incarnation increases with each start of the server.
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// UptimeMillis is the server's monotonic time since its start, in milliseconds; zero if it is not reported.
	UptimeMillis int64 `json:"uptime-millis,omitempty" cbor:"uptime-millis,omitempty"`
	// Zone is the server's availability zone.
	Zone string `json:"zone" cbor:"zone"`
	// Address is the IP and port of the server's HTTP interface.
	Address string `json:"address" cbor:"address"`
	// Kind is the kind of the server.
	Kind Kind `json:"kind" cbor:"kind"`
	// State is the state of the server: whether it accepts new requests.
	State State `json:"state" cbor:"state"`
	// Holdings are the models with weight versions and adapters that an engine holds.
	Holdings []Holding `json:"holdings,omitempty" cbor:"holdings,omitempty"`
	// Services are the names of the plain services that a service server runs.
	Services []string `json:"services,omitempty" cbor:"services,omitempty"`
	// Role is the engine's role, for example "drafting"; orders change it.
	Role string `json:"role,omitempty" cbor:"role,omitempty"`
	// ChecksFencing is true if the server refuses an order with an old fencing number.
	ChecksFencing bool `json:"checks-fencing,omitempty" cbor:"checks-fencing,omitempty"`
	// LastOrder is the ID of the last order that the server carried out.
	LastOrder string `json:"last-order,omitempty" cbor:"last-order,omitempty"`
	// Load is the server's load report, which lags behind the actual load.
	Load Load `json:"load,omitzero" cbor:"load"`
}
