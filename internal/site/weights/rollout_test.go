package weights

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamwood/internal/site/directory"
)

// fakeSite holds engines and what a roll-out tells of them.
type fakeSite struct {
	mu      sync.Mutex
	named   int64
	fencing uint64
	lost    uint64
	engines []directory.Server
	loaded  map[string]int64
	busy    map[string]bool
}

func newFakeSite(versions ...int64) *fakeSite {
	s := &fakeSite{named: 2, fencing: 7, loaded: map[string]int64{}, busy: map[string]bool{}}
	for i, v := range versions {
		s.engines = append(s.engines, directory.Server{ID: string(rune('a' + i)), StartedAt: 1, Models: []directory.Weights{{Model: "m", Version: v}}})
	}
	return s
}

func (s *fakeSite) TargetVersions() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]int64{"m": s.named}
}
func (s *fakeSite) Engines() []directory.Server { return s.engines }
func (s *fakeSite) Holder() (string, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return "h", s.fencing, s.fencing > s.lost
}

func (s *fakeSite) ObserveFencing(fencing uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = fencing
}

func (s *fakeSite) SetBusy(server string, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[server] = busy
}

func (s *fakeSite) ReportLoaded(x directory.Server, _ string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded[x.ID] = version
}

func (s *fakeSite) Version(x directory.Server, model string) int64 {
	told, _ := x.Version(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(told, s.loaded[x.ID])
}

// fakeEngines load for two seconds each and may lose answers or carry orders out late.
type fakeEngines struct {
	mu       sync.Mutex
	versions map[string]int64
	sequence map[string]int64
	until    map[string]time.Time
	given    []string
	loads    map[string]int
	most     int
	// silent is how many orders get no answer though they are accepted.
	silent int
	// fenced makes every order be refused.
	fenced bool
	// load is how long a load takes, two seconds where it is zero.
	load time.Duration
	// down are engines that answer nothing; runs lets every other one seem to run requests for ever.
	down map[string]bool
	runs bool
}

func newFakeEngines(s *fakeSite) *fakeEngines {
	e := &fakeEngines{versions: map[string]int64{}, sequence: map[string]int64{}, until: map[string]time.Time{}, loads: map[string]int{}}
	for _, x := range s.engines {
		e.versions[x.ID] = x.Models[0].Version
	}
	return e
}

func (e *fakeEngines) Report(_ context.Context, s directory.Server) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down[s.ID] {
		return Report{}, errors.New("connection refused")
	}
	running := 0
	if e.runs {
		running = 1
	}
	busy := time.Now().Before(e.until[s.ID])
	version := e.versions[s.ID]
	if busy {
		version--
	}
	return Report{Sequence: e.sequence[s.ID], Busy: busy, Running: running, Versions: map[string]int64{"m": version}}, nil
}

func (e *fakeEngines) Order(_ context.Context, s directory.Server, o Order) (Outcome, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.given = append(e.given, s.ID)
	switch {
	case e.fenced:
		return Fenced, nil
	case o.Sequence != e.sequence[s.ID] || now.Before(e.until[s.ID]):
		return Conflict, nil
	}
	e.sequence[s.ID]++
	load := 2 * time.Second
	if e.load > 0 {
		load = e.load
	}
	e.versions[s.ID], e.until[s.ID] = o.Version, now.Add(load)
	e.loads[s.ID]++
	loading := 0
	for _, t := range e.until {
		if now.Before(t) {
			loading++
		}
	}
	e.most = max(e.most, loading)
	if e.silent > 0 {
		e.silent--
		return Unanswered, errors.New("no answer")
	}
	return Accepted, nil
}

func rollOut(t *testing.T, s *fakeSite, e *fakeEngines, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	New(Config{Client: e, Site: s}).Run(ctx)
}

// rollOutWithin is rollOut where all engines must have the weights after so long.
func rollOutWithin(t *testing.T, s *fakeSite, e *fakeEngines, within, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	New(Config{Client: e, Site: s, Deadline: within}).Run(ctx)
}

// New weights are named for nine engines. Each must load them once, never more
// than two at a time, and all within what operators are promised, or requests
// are answered from old weights.
func TestAllEnginesLoadOnceTwoAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite(1, 1, 1, 1, 1, 1, 1, 1, 1)
		e := newFakeEngines(s)
		rollOut(t, s, e, 14*time.Second)
		for _, x := range s.engines {
			if s.loaded[x.ID] != 2 || e.loads[x.ID] != 1 || s.busy[x.ID] {
				t.Errorf("%s: version %d after %d loads, busy %v", x.ID, s.loaded[x.ID], e.loads[x.ID], s.busy[x.ID])
			}
		}
		if e.most > atOnce {
			t.Errorf("%d loaded at once", e.most)
		}
	})
}

// A second version is named while the first one is half-way. The engines that
// have neither are two versions behind; served after the others, their requests
// would be answered from the oldest weights for longest.
func TestOldestWeightsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite(2, 2, 1, 1)
		s.named = 3
		e := newFakeEngines(s)
		rollOut(t, s, e, 10*time.Second)
		if len(e.given) != 4 || e.given[0] > "d" || e.given[0] < "c" || e.given[1] < "c" {
			t.Errorf("ordered %v", e.given)
		}
	})
}

// Orders get no answer though the engines carry them out. Given again blindly,
// each would load twice and be away for twice as long.
func TestUnansweredOrderIsNotGivenTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite(1, 1, 1)
		e := newFakeEngines(s)
		e.silent = 3
		rollOut(t, s, e, 14*time.Second)
		for _, x := range s.engines {
			if e.loads[x.ID] != 1 || s.loaded[x.ID] != 2 {
				t.Errorf("%s loaded %d times, version %d", x.ID, e.loads[x.ID], s.loaded[x.ID])
			}
		}
	})
}

// Another process got the lease while this one stood still. From the first
// refusal on this one must not order again under its number.
func TestFencedHolderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSite(1, 1, 1, 1)
		e := newFakeEngines(s)
		e.fenced = true
		rollOut(t, s, e, 20*time.Second)
		if len(e.given) > atOnce {
			t.Errorf("%d orders after the refusal of the first", len(e.given)-1)
		}
	})
}

// Engines load in less than a second and must have new weights within ten. With
// requests that never end at each of them, draining takes longer than the loads;
// the last engines must have the weights in time all the same, or requests begin
// on old ones after that.
func TestDrainingKeepsToTheTimeThatThereIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 10 * time.Second
		s := newFakeSite(1, 1, 1, 1, 1, 1, 1, 1, 1)
		e := newFakeEngines(s)
		e.load, e.runs = 760*time.Millisecond, true
		rollOutWithin(t, s, e, within, within*8/10)
		if len(s.loaded) != len(s.engines) {
			t.Errorf("%d of %d engines have the weights after %s", len(s.loaded), len(s.engines), within*8/10)
		}
		if e.most > atOnce {
			t.Errorf("%d loaded at once", e.most)
		}
	})
}

// A third of the engines crash while new weights are brought. Those that refuse
// connections must not keep the places of those that work: the roll-out stood
// still for three seconds, and the last engine got its weights too late.
func TestCrashedEnginesDontHoldUpTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 10 * time.Second
		s := newFakeSite(1, 1, 1, 1, 1, 1, 1, 1, 1)
		e := newFakeEngines(s)
		e.load, e.runs = 760*time.Millisecond, true
		e.down = map[string]bool{"a": true, "b": true, "c": true}
		rollOutWithin(t, s, e, within, within*7/10)
		if len(s.loaded) != len(s.engines)-len(e.down) {
			t.Errorf("%d engines have the weights", len(s.loaded))
		}
	})
}
