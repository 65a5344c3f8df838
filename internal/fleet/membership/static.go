package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/fleet/announcement"
)

// staticPart returns the fields of a that rarely change; gossip sends them only to entries that lack them.
func staticPart(a announcement.Announcement) announcement.Announcement {
	a.Sequence = 0
	a.UptimeMillis = 0
	a.State = ""
	a.Load = announcement.Load{}
	return a
}

// staticDigest returns the first eight bytes of the SHA-256 digest of a's static part.
func staticDigest(a announcement.Announcement) uint64 {
	b, err := codec.Marshal(staticPart(a))
	if err != nil {
		return 0
	}
	d := sha256.Sum256(b)
	return binary.BigEndian.Uint64(d[:8])
}

func sameStaticPart(a, b *announcement.Announcement) bool {
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
