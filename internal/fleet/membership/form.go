package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/fleet/announcement"
)

// formOf returns the part of a that changes seldom; gossip sends it only to those who lack it.
func formOf(a announcement.Announcement) announcement.Announcement {
	a.Sequence = 0
	a.UptimeMillis = 0
	a.State = ""
	a.Load = announcement.Load{}
	return a
}

// formNumber returns the first eight bytes of the SHA-256 digest of a's form.
func formNumber(a announcement.Announcement) uint64 {
	b, err := codec.Marshal(formOf(a))
	if err != nil {
		return 0
	}
	d := sha256.Sum256(b)
	return binary.BigEndian.Uint64(d[:8])
}

func sameForm(a, b *announcement.Announcement) bool {
	return a.Identity == b.Identity &&
		a.Incarnation == b.Incarnation &&
		a.Zone == b.Zone &&
		a.Address == b.Address &&
		a.Kind == b.Kind &&
		a.Role == b.Role &&
		a.ChecksFencing == b.ChecksFencing &&
		a.LastOrder == b.LastOrder &&
		slices.Equal(a.Holdings, b.Holdings) &&
		slices.Equal(a.Services, b.Services)
}
