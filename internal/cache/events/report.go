package events

import (
	"fmt"
	"math"

	"hornbeamwood/internal/cache/block"
)

// Limits of one Report.
const (
	MaxEvents = 1024
	MaxKeys   = 4096
	MaxParts  = 1024
	// MaxBody is the largest body of a request in bytes.
	MaxBody = 512 << 10
)

// Report is a message of an engine: a batch of events or a part of a listing.
type Report struct {
	// Identity is the engine's identity.
	Identity string `json:"identity"`
	// Incarnation is the engine's incarnation; a new one starts with an empty cache.
	Incarnation uint64 `json:"incarnation"`
	// First is the number of the first event; events of one incarnation are numbered from 1 without gaps.
	First uint64 `json:"first,omitempty"`
	// Events are the events, numbered consecutively from First. An empty batch is a heartbeat that carries the next number.
	Events []Event `json:"events,omitempty"`
	// Listing is set instead of Events.
	Listing *Listing `json:"listing,omitempty"`
}

// Listing is one part of the list of all pieces that an engine holds.
type Listing struct {
	// Sequence is the number of the last event that the listing includes.
	Sequence uint64 `json:"sequence"`
	// Part is the number of this part, from 1.
	Part int `json:"part"`
	// Parts is the number of parts.
	Parts int `json:"parts"`
	// Keys are the keys of the pieces.
	Keys []block.Key `json:"keys"`
}

// Check validates the report and returns an error that names the first field that is missing or out of bounds.
func (r Report) Check() error {
	if r.Identity == "" || len(r.Identity) > 64 {
		return fmt.Errorf("identity must have 1 to 64 characters")
	}
	if r.Incarnation == 0 || r.Incarnation > math.MaxInt64 {
		return fmt.Errorf("incarnation must be 1 to 2^63-1")
	}
	if r.Listing != nil {
		return r.checkListing()
	}
	if r.First == 0 || r.First > math.MaxInt64 {
		return fmt.Errorf("first must be 1 to 2^63-1")
	}
	if len(r.Events) > MaxEvents {
		return fmt.Errorf("events are more than %d", MaxEvents)
	}
	for _, e := range r.Events {
		if e.Kind != Inserted && e.Kind != Evicted {
			return fmt.Errorf("kind of an event must be %s or %s", Inserted, Evicted)
		}
	}
	return nil
}

func (r Report) checkListing() error {
	l := r.Listing
	if r.First != 0 || len(r.Events) > 0 {
		return fmt.Errorf("a listing comes without first and events")
	}
	if l.Sequence > math.MaxInt64 {
		return fmt.Errorf("sequence of the listing must be 0 to 2^63-1")
	}
	if l.Parts < 1 || l.Parts > MaxParts {
		return fmt.Errorf("parts of the listing must be 1 to %d", MaxParts)
	}
	if l.Part < 1 || l.Part > l.Parts {
		return fmt.Errorf("part of the listing must be 1 to parts")
	}
	if len(l.Keys) > MaxKeys {
		return fmt.Errorf("keys of the listing are more than %d", MaxKeys)
	}
	return nil
}
