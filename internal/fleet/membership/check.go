package membership

import (
	"fmt"
	"math"
	"slices"
	"time"

	"hornbeamwood/internal/base/check"
	"hornbeamwood/internal/fleet/announcement"
)

const (
	maxName = 64
	maxRate = 1e12
	maxSize = 1 << 50
	// maxMillis is the largest number of milliseconds that fits into a time.Duration.
	maxMillis = int64(math.MaxInt64 / time.Millisecond)
)

var (
	kinds  = []announcement.Kind{announcement.Engine, announcement.Service, announcement.Store}
	states = []announcement.State{announcement.Ready, announcement.Leaving}
)

// Check validates a and returns an error that names the first field that is missing or out of bounds.
func (c Config) Check(a announcement.Announcement) error {
	c = c.withDefaults()
	checks := []func() error{
		func() error { return checkIdentity(a.Identity) },
		func() error { return checkNumber("incarnation", a.Incarnation) },
		func() error { return checkNumber("sequence", a.Sequence) },
		func() error { return checkName("zone", a.Zone) },
		func() error { return check.Address("address", a.Address) },
		func() error { return checkOneOf("kind", a.Kind, kinds) },
		func() error { return checkOneOf("state", a.State, states) },
		func() error { return checkOptional("role", a.Role) },
		func() error { return checkOptional("last-order", a.LastOrder) },
		func() error { return checkBetween("uptime-millis", a.UptimeMillis, maxMillis) },
		func() error { return c.checkHoldings(a) },
		func() error { return c.checkServices(a) },
		func() error { return checkLoad(a.Load) },
	}
	for _, f := range checks {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func checkIdentity(s string) error {
	if len(s) == 0 || len(s) > maxName {
		return fmt.Errorf("identity must have 1 to %d characters", maxName)
	}
	for _, b := range []byte(s) {
		ok := b >= 'a' && b <= 'z' || b >= '0' && b <= '9' || b == '.' || b == '-'
		if !ok {
			return fmt.Errorf("identity may hold a-z, 0-9, '.' and '-' only")
		}
	}
	return nil
}

func checkNumber(field string, n uint64) error {
	if n == 0 || n > math.MaxInt64 {
		return fmt.Errorf("%s must be 1 to 2^63-1", field)
	}
	return nil
}

func checkName(field, s string) error {
	return check.Name(field, s, maxName)
}

func checkOptional(field, s string) error {
	if s == "" {
		return nil
	}
	return checkName(field, s)
}

func checkOneOf[T ~string](field string, s T, all []T) error {
	if !slices.Contains(all, s) {
		return fmt.Errorf("%s must be one of %v", field, all)
	}
	return nil
}

func checkBetween[T int | int64](field string, v, most T) error {
	if v < 0 || v > most {
		return fmt.Errorf("%s must be 0 to %d", field, most)
	}
	return nil
}

func checkRate(field string, v float64) error {
	if !(v >= 0 && v <= maxRate) {
		return fmt.Errorf("%s must be 0 to %g", field, float64(maxRate))
	}
	return nil
}

func (c Config) checkHoldings(a announcement.Announcement) error {
	if len(a.Holdings) > c.Holdings {
		return fmt.Errorf("holdings are more than %d", c.Holdings)
	}
	if len(a.Holdings) > 0 && a.Kind != announcement.Engine {
		return fmt.Errorf("holdings are for engines only")
	}
	for _, h := range a.Holdings {
		if err := checkName("model of a holding", h.Model); err != nil {
			return err
		}
		if err := checkName("weight-version of a holding", h.WeightVersion); err != nil {
			return err
		}
		if err := checkOptional("adapter of a holding", h.Adapter); err != nil {
			return err
		}
	}
	return nil
}

func (c Config) checkServices(a announcement.Announcement) error {
	if len(a.Services) > c.Services {
		return fmt.Errorf("services are more than %d", c.Services)
	}
	if len(a.Services) > 0 && a.Kind != announcement.Service {
		return fmt.Errorf("services are for service servers only")
	}
	for _, s := range a.Services {
		if err := checkName("name of a service", s); err != nil {
			return err
		}
	}
	return nil
}

func checkLoad(l announcement.Load) error {
	checks := []error{
		checkBetween("load.age-millis", l.AgeMillis, math.MaxInt32),
		checkBetween("load.running", l.Running, math.MaxInt32),
		checkBetween("load.queued-tokens", l.QueuedTokens, maxSize),
		checkRate("load.prefill-rate", l.PrefillRate),
		checkRate("load.decode-rate", l.DecodeRate),
		checkBetween("load.max-running", l.MaxRunning, math.MaxInt32),
		checkBetween("load.cache-pieces", l.CachePieces, maxSize),
		checkBetween("load.free-pieces", l.FreePieces, maxSize),
		checkRate("load.link-rate", l.LinkRate),
		checkBetween("load.link-queued", l.LinkQueued, maxSize),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	if l.Sequence > math.MaxInt64 {
		return fmt.Errorf("load.sequence must be 0 to 2^63-1")
	}
	if l.FreePieces > l.CachePieces {
		return fmt.Errorf("load.free-pieces must not be above load.cache-pieces")
	}
	return nil
}
