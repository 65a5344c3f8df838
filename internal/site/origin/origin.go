package origin

import "hornbeamwood/internal/site/directory"

// Origin is how a stream began.
type Origin struct {
	// Service and Software are the service of the server that sent the first event and the version of its software;
	// Software is empty if it is unknown.
	Service  string `cbor:"service"`
	Software string `cbor:"software,omitempty"`
	// Server is the server's ID, empty if it is unknown, and Incarnation its start in Unix milliseconds.
	Server      string `cbor:"server,omitempty"`
	Incarnation int64  `cbor:"incarnation,omitempty"`
}

// At returns the origin of a stream whose first event the server sends.
func At(s directory.Server) Origin {
	return Origin{Service: s.Service, Software: s.Software, Server: s.ID, Incarnation: s.StartedAt}
}

// Allows returns whether the stream may go on at the server.
func (o Origin) Allows(s directory.Server) bool {
	if o.Server == s.ID && o.Incarnation == s.StartedAt {
		return true
	}
	return o.Software != "" && o.Software == s.Software && o.Service == s.Service
}

// WithoutSoftware returns the origin with unknown software: the stream may go on only at the server that began it.
func (o Origin) WithoutSoftware() Origin {
	o.Software = ""
	return o
}
