package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Row is the often changing part of one server, with its form when the receiver lacks it.
type Row struct {
	_ struct{} `cbor:",toarray"`
	// Form is the number of the seldom changing part, which names the server and its incarnation as well.
	Form     uint64
	Sequence uint64
	// UptimeMillis is the server's at the announcement, zero when it gives none.
	UptimeMillis int64
	Leaving      bool
	// AgeMillis is an upper bound of the announcement's age when the Row was made.
	AgeMillis int64
	// Load is left out when the server gave none.
	Load *RowLoad
	// Static is the seldom changing part, left out when the receiver has it.
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

func newRow(now time.Time, s *Server, static bool) Row {
	r := Row{
		Form:         s.form,
		Sequence:     s.announcement.Sequence,
		UptimeMillis: s.announcement.UptimeMillis,
		Leaving:      s.announcement.State == announcement.Leaving,
		AgeMillis:    ceilMillis(s.Age(now)),
	}
	if l, ok := s.Load(); ok {
		r.Load = newRowLoad(l, ceilMillis(now.Sub(s.loadTaken)))
	}
	if static {
		form := formOf(s.announcement)
		r.Static = &form
	}
	return r
}

func newRowLoad(l announcement.Load, ageMillis int64) *RowLoad {
	return &RowLoad{
		Sequence:     l.Sequence,
		AgeMillis:    ageMillis,
		Running:      l.Running,
		QueuedTokens: l.QueuedTokens,
		PrefillRate:  short(l.PrefillRate),
		DecodeRate:   short(l.DecodeRate),
		MaxRunning:   l.MaxRunning,
		CachePieces:  l.CachePieces,
		FreePieces:   l.FreePieces,
		LinkRate:     short(l.LinkRate),
		LinkQueued:   l.LinkQueued,
	}
}

// announcement returns the row as an announcement with the given form.
func (r Row) announcement(form announcement.Announcement) announcement.Announcement {
	a := form
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

// load returns the report with its age as it was when the announcement was made.
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

func short(f float64) float64 {
	return float64(float32(f))
}

func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
