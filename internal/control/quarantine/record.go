package quarantine

import (
	"slices"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// record is one suspect or quarantined fingerprint.
type record struct {
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	Workspace   string                `cbor:"workspace"`
	Model       string                `cbor:"model"`
	Losses      []suspicion.Loss      `cbor:"losses"`
	Standing    suspicion.Standing    `cbor:"standing"`
	Window      time.Duration         `cbor:"window"`
	Version     uint64                `cbor:"version"`
}

func (r *record) item() Item {
	i := Item{
		Fingerprint: r.Fingerprint.String(),
		Workspace:   r.Workspace,
		Model:       r.Model,
		Standing:    r.Standing,
		Servers:     r.servers(),
	}
	if len(r.Losses) > 0 {
		i.Since = time.Unix(0, r.Losses[0].At).UTC()
	}
	return i
}

// servers returns the distinct servers that were lost.
func (r *record) servers() []string {
	var names []string
	for _, l := range r.Losses {
		if !slices.Contains(names, l.Server) {
			names = append(names, l.Server)
		}
	}
	return names
}

// slot is a suspect's lease on a server: the server runs no other suspect until it ends.
type slot struct {
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	Attempt     string                `cbor:"attempt"`
	Until       int64                 `cbor:"until"`
}

// removal records that a fingerprint became clear.
type removal struct {
	Fingerprint suspicion.Fingerprint `cbor:"fingerprint"`
	Version     uint64                `cbor:"version"`
}
