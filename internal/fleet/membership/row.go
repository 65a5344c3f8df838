package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Row holds the frequently changing fields of one server, and its static part if the receiver lacks it.
type Row struct {
	_ struct{} `cbor:",toarray"`
	// Digest is the digest of the static part, which includes the server's identity and incarnation.
	Digest   uint64
	Sequence uint64
	// UptimeMillis is the server's uptime at the announcement, zero if it reports none.
	UptimeMillis int64
	Leaving      bool
	// AgeMillis is an upper bound of the announcement's age at the time the Row was made.
	AgeMillis int64
	// Load is nil if the server reported none.
	Load *RowLoad
	// Static is the static part, nil if the receiver has it.
	Static *announcement.Announcement
}

// RowLoad is a load report in a Row; rates are rounded to 24 bits.
type RowLoad struct {
	_            struct{} `cbor:",toarray"`
	Sequence     uint64
	AgeMillis    int64
	Running      int
	QueuedTokens int64
	PrefillRate  float64
	DecodeRate   float64
	MaxRunning   int
	CachePieces  int64
	FreePieces   int64
	LinkRate     float64
	LinkQueued   int64
}

func newRow(now time.Time, s *Server, withStatic bool) Row {
	r := Row{
		Digest:       s.digest,
		Sequence:     s.announcement.Sequence,
		UptimeMillis: s.announcement.UptimeMillis,
		Leaving:      s.announcement.State == announcement.Leaving,
		AgeMillis:    ceilMillis(s.Age(now)),
	}
	if l, ok := s.Load(); ok {
		r.Load = newRowLoad(l, ceilMillis(now.Sub(s.loadMeasuredAt)))
	}
	if withStatic {
		part := staticPart(s.announcement)
		r.Static = &part
	}
	return r
}

func newRowLoad(l announcement.Load, ageMillis int64) *RowLoad {
	return &RowLoad{
		Sequence:     l.Sequence,
		AgeMillis:    ageMillis,
		Running:      l.Running,
		QueuedTokens: l.QueuedTokens,
		PrefillRate:  roundRate(l.PrefillRate),
		DecodeRate:   roundRate(l.DecodeRate),
		MaxRunning:   l.MaxRunning,
		CachePieces:  l.CachePieces,
		FreePieces:   l.FreePieces,
		LinkRate:     roundRate(l.LinkRate),
		LinkQueued:   l.LinkQueued,
	}
}

// announcement returns the row as an announcement with the given static part.
func (r Row) announcement(static announcement.Announcement) announcement.Announcement {
	a := static
	a.Sequence = r.Sequence
	a.UptimeMillis = r.UptimeMillis
	a.State = announcement.Ready
	if r.Leaving {
		a.State = announcement.Leaving
	}
	if r.Load != nil {
		a.Load = r.Load.load(r.AgeMillis)
	}
	return a
}

// load returns the report with its age at the time of the announcement.
func (l RowLoad) load(announcementAge int64) announcement.Load {
	return announcement.Load{
		Sequence:     l.Sequence,
		AgeMillis:    max(0, l.AgeMillis-announcementAge),
		Running:      l.Running,
		QueuedTokens: l.QueuedTokens,
		PrefillRate:  l.PrefillRate,
		DecodeRate:   l.DecodeRate,
		MaxRunning:   l.MaxRunning,
		CachePieces:  l.CachePieces,
		FreePieces:   l.FreePieces,
		LinkRate:     l.LinkRate,
		LinkQueued:   l.LinkQueued,
	}
}

func roundRate(f float64) float64 {
	return float64(float32(f))
}

func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
