package announcement

// Announcement is what one backend server says of itself at one moment.
type Announcement struct {
	// Identity names the backend server for as long as it exists.
	Identity string `json:"identity" cbor:"identity"`
	// Incarnation is a larger number with each start of the server.
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	// Sequence is a larger number with each announcement of one incarnation.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// UptimeMillis is the server's monotonic time since its start, in milliseconds; zero when it gives none.
	UptimeMillis int64 `json:"uptime-millis,omitempty" cbor:"uptime-millis,omitempty"`
	// Zone is the server's availability zone.
	Zone string `json:"zone" cbor:"zone"`
	// Address is the IP and port of the server's HTTP interface.
	Address string `json:"address" cbor:"address"`
	// Kind says what the server is.
	Kind Kind `json:"kind" cbor:"kind"`
	// State says whether the server takes new work.
	State State `json:"state" cbor:"state"`
	// Holdings are the models with weight versions and adapters that an engine holds.
	Holdings []Holding `json:"holdings,omitempty" cbor:"holdings,omitempty"`
	// Services are the names of the plain services that a service server runs.
	Services []string `json:"services,omitempty" cbor:"services,omitempty"`
	// Role is what the engine does, for example "drafting"; orders change it.
	Role string `json:"role,omitempty" cbor:"role,omitempty"`
	// ChecksFencing says whether the server refuses an order with an old fencing number.
	ChecksFencing bool `json:"checks-fencing,omitempty" cbor:"checks-fencing,omitempty"`
	// LastOrder is the id of the last order that the server carried out.
	LastOrder string `json:"last-order,omitempty" cbor:"last-order,omitempty"`
	// Load is the server's report of its load, which lags.
	Load Load `json:"load,omitzero" cbor:"load"`
}
