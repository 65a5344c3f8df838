package directory

import (
	"fmt"
	"time"

	"hornbeamwood/internal/base/check"
)

// Limits of what a server may announce, far above what servers do.
const (
	maxNameBytes = 128
	maxModels    = 256
	maxSlots     = 1 << 20
	// maxNumber is the largest integer that every JSON encoder writes exactly.
	maxNumber = 1 << 53
	maxWarmUp = time.Hour
	// maxClockSkew is how far a server's clock may be ahead.
	maxClockSkew = 24 * time.Hour
)

// Check returns an error that names the first field with which s can't be the announcement of a server.
func (s Server) Check(now time.Time) error {
	if err := CheckIncarnation(s.ID, s.StartedAt, now); err != nil {
		return err
	}
	for _, err := range []error{
		check.Name("the service", s.Service, maxNameBytes),
		check.Name("the zone", s.Zone, maxNameBytes),
		check.Address("the address", s.Address),
		checkOptional("the software version", s.Software),
		checkRange("sequence", s.Sequence, 0, maxNumber),
		checkRange("slots", int64(s.Slots), 1, maxSlots),
		checkRange("the remaining warm-up in ns", int64(s.WarmUp), 0, int64(maxWarmUp)),
		checkRange("the number of models", int64(len(s.Models)), 0, maxModels),
	} {
		if err != nil {
			return err
		}
	}
	for _, w := range s.Models {
		if err := check.Name("a model", w.Model, maxNameBytes); err != nil {
			return err
		}
		if err := checkRange("the version of a model", w.Version, 0, maxNumber); err != nil {
			return err
		}
	}
	return nil
}

// CheckIncarnation returns an error if no server can have that ID and start time.
//
// A start in the far future would make all that the server announces under its ID look older.
func CheckIncarnation(id string, startedAt int64, now time.Time) error {
	if err := check.ID("the server's ID", id, maxNameBytes); err != nil {
		return err
	}
	return checkRange("the start time in ms", startedAt, 0, now.Add(maxClockSkew).UnixMilli())
}

func checkOptional(kind, s string) error {
	if s == "" {
		return nil
	}
	return check.Name(kind, s, maxNameBytes)
}

func checkRange(kind string, n, least, most int64) error {
	if n < least || n > most {
		return fmt.Errorf("%s must be %d to %d, not %d", kind, least, most, n)
	}
	return nil
}
