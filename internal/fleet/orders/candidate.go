package orders

import (
	"slices"
	"time"

	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
)

// defaultLoads is the limit of concurrent weight loads if the settings have none.
const defaultLoads = 2

// candidate is an engine that should load a weight version.
type candidate struct {
	engine string
	model  string
	// share is the fraction of the model's engines that serve the wanted version or are loading it.
	share  float64
	server *membership.Server
	reason Reason
}

// modelCount counts the engines of one model by load state.
type modelCount struct {
	engines int
	served  int
	loading int
}

// unavailable reports whether the server can't get an order now.
func unavailable(now time.Time, s *membership.Server) bool {
	a := s.Announcement()
	return a.Kind != announcement.Engine || a.State != announcement.Ready || s.Age(now) >= membership.MaxAge
}

// planLoads plans loads up to the limit, starting with the model that has the smallest share of engines with the wanted version.
func (c *controller) planLoads(now time.Time, in Input, servers map[string]*membership.Server) {
	limit := in.Settings.Fleet.WeightLoads
	if limit <= 0 {
		limit = defaultLoads
	}
	counts := c.countModels(now, in, servers)
	for c.loads(now) < limit {
		x, ok := c.best(now, in, servers, counts)
		if !ok {
			return
		}
		c.planLoad(now, x, in.Settings.Models[x.model].WeightVersion)
		counts[x.model].loading++
	}
}

func (c *controller) loads(now time.Time) int {
	n := 0
	for _, j := range c.jobs {
		if j.loading(now, c.config.Flight) {
			n++
		}
	}
	return n
}

func (c *controller) countModels(now time.Time, in Input, servers map[string]*membership.Server) map[string]*modelCount {
	counts := map[string]*modelCount{}
	for m := range in.Settings.Models {
		counts[m] = &modelCount{}
	}
	for _, s := range servers {
		for m, x := range counts {
			held, wanted := versions(s.Announcement(), m, in.Settings.Models[m].WeightVersion)
			x.engines += boolToInt(held)
			x.served += boolToInt(wanted)
		}
	}
	for _, j := range c.jobs {
		if x := counts[j.Order.Model]; x != nil && j.loading(now, c.config.Flight) {
			x.loading++
		}
	}
	return counts
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// versions reports whether the engine holds any version of the model, and whether it holds the wanted one.
func versions(a announcement.Announcement, model, version string) (held, wanted bool) {
	for _, h := range a.Holdings {
		if h.Model == model {
			held = true
			wanted = wanted || h.WeightVersion == version
		}
	}
	return held, wanted
}

// best returns the candidate to load next.
func (c *controller) best(now time.Time, in Input, servers map[string]*membership.Server, counts map[string]*modelCount) (candidate, bool) {
	var all []candidate
	for k, s := range servers {
		if c.jobs[k] != nil || unavailable(now, s) {
			continue
		}
		for m, model := range in.Settings.Models {
			x, ok := loadCandidate(s, m, model.WeightVersion, counts[m])
			if ok && c.allowed(now, s, x, model.WeightVersion) {
				all = append(all, x)
			}
		}
	}
	if len(all) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(all, compareCandidates), true
}

// loadCandidate returns a candidate and true if the engine should load the version of the model.
//
// At most half of a model's engines load at the same time, so that the others
// continue to serve the running requests.
func loadCandidate(s *membership.Server, model, version string, n *modelCount) (candidate, bool) {
	a := s.Announcement()
	held, wanted := versions(a, model, version)
	x := candidate{engine: a.Identity, model: model, server: s, reason: OtherVersion}
	if len(a.Holdings) == 0 && a.Role == model {
		x.reason = NothingHeld
		held = true
	}
	if !held || wanted || version == "" {
		return x, false
	}
	if x.reason == OtherVersion && n.loading >= max(1, n.engines/2) {
		return x, false
	}
	x.share = float64(n.served+n.loading) / float64(max(1, n.engines))
	return x, true
}

func (c *controller) allowed(now time.Time, s *membership.Server, x candidate, version string) bool {
	return !now.Before(c.retries[loadTarget(s, x.model, version)].after)
}

func loadTarget(s *membership.Server, model, version string) target {
	a := s.Announcement()
	return target{
		engine:      a.Identity,
		incarnation: a.Incarnation,
		kind:        LoadWeights,
		model:       model,
		version:     version,
	}
}

func (c *controller) planLoad(now time.Time, x candidate, version string) {
	t := loadTarget(x.server, x.model, version)
	c.noteVersion++
	c.jobs[x.engine] = &job{
		Outstanding: Outstanding{
			Engine:      t.engine,
			Incarnation: t.incarnation,
			Order: Order{
				ID:            t.id(c.retries[t].attempt),
				Fencing:       c.held.Fencing,
				Kind:          LoadWeights,
				Model:         x.model,
				WeightVersion: version,
			},
		},
		reason:      x.reason,
		noteVersion: c.noteVersion,
		contact:     now,
	}
}
