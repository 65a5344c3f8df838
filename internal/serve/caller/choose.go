package caller

import (
	"context"
	"iter"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/serve/choose"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/salt"
	"hornbeamwood/internal/site/stores"
)

const (
	// oldVersionMillis is the cost in milliseconds of an engine without the target version of
	// the weights: a quarter of the latency target of a first event.
	oldVersionMillis = 250.0
	// assumedPrefillTime is how long after it was sent to an engine a part is assumed to be
	// available from there: the prefill time of a long part.
	assumedPrefillTime = 600 * time.Millisecond
	// longPartTokens is the size from which on a shared part is worth waiting for the stores, and
	// worth reporting to the other entries.
	longPartTokens = 1024
)

// newRandom returns a random source for one decision.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// untried yields the servers where the request may run and that were not tried yet.
func (j *job) untried() iter.Seq[directory.Server] {
	return func(yield func(directory.Server) bool) {
		for s := range j.servers() {
			if !slices.Contains(j.tried, s.ID) && !yield(s) {
				return
			}
		}
	}
}

// candidates returns the servers of the service that were not tried yet, aren't in backoff and whose limits
// allow a request, with the load of all entries.
func (j *job) candidates(now time.Time) []choose.Candidate {
	all := make([]choose.Candidate, 0, len(j.Site.Servers(j.service.Name)))
	for s := range j.untried() {
		c := j.candidate(s, now)
		j.observeCold(s, c.Stats, now)
		j.Limits.ExpectBrittle(j.service.Name, s.ID, now)
		if j.serverWait(s.ID, now) > 0 {
			continue
		}
		all = append(all, c)
	}
	return all
}

// candidate returns the server with the load of all entries.
func (j *job) candidate(s directory.Server, now time.Time) choose.Candidate {
	stats := j.Tracker.Stats(s.ID)
	peers := j.PeerLoads.Load(s.ID, now)
	stats.RefusedBy = peers.RefusedEntries
	stats.InFlight += peers.InFlight
	stats.PrefillTokens += peers.PrefillTokens
	stats.ReservedTokens += peers.ReservedTokens
	return choose.Candidate{Server: s, Stats: stats}
}

// observeCold updates the limit of a server that may be cold.
//
// A server that refused a connection has not been running. Once it accepts connections again, it
// is cold, and its announcement may arrive later than the next request.
func (j *job) observeCold(s directory.Server, stats observe.ServerStats, now time.Time) {
	if j.service.ColdRate <= 0 || j.ColdFactor <= 0 {
		return
	}
	refused := stats.RefusedBy >= choose.MinRefusals || !stats.RefusedAt.IsZero() && now.Sub(stats.RefusedAt) < j.service.ColdTime
	j.Limits.SetCold(s.ID, refused || j.Site.Cold(s, j.service.ColdTime, now), j.ColdFactor*j.service.ColdRate+j.ColdSlack, now)
}

func (j *job) choosePlain(ctx context.Context) (choice, bool) {
	if c, ok := j.pickPlain(time.Now()); ok {
		return c, true
	}
	return j.awaitLimit(ctx)
}

// pickPlain returns a server that may get the request now.
func (j *job) pickPlain(now time.Time) (choice, bool) {
	all := j.candidates(now)
	at, cost := choose.PlainPicker{Now: now, Zone: j.Zone, Random: newRandom()}.Pick(all)
	if at < 0 {
		return choice{}, false
	}
	c := all[at]
	return choice{
		server:   c.Server,
		dispatch: j.dispatch(now),
		fields: log.Fields{
			"kind": "plain", "cost": cost, "candidates": len(all), "in-flight": c.Stats.InFlight, "failures": c.Stats.Failures,
			"load-age-ms": reportAgeMillis(c.Stats, now),
		},
	}, true
}

func reportAgeMillis(t observe.ServerStats, now time.Time) int64 {
	if t.ReportedAt.IsZero() {
		return -1
	}
	return now.Sub(t.ReportedAt).Milliseconds()
}

// engineExpected returns whether an engine that was not tried yet may accept the request soon. One that
// can't get it now carries out an order, needs newer weights, is in backoff or has a limit, and one that
// can get it by now couldn't a moment ago.
func (j *job) engineExpected() bool {
	for range j.untried() {
		return true
	}
	return false
}

// outdated returns whether no request may start on weights of that version any more. Operators
// are guaranteed a time from which on all responses use the target version that they set, so
// an engine that loads it late must not serve.
func (j *job) outdated(version int64) bool {
	model := j.request.Prompt.Model
	return version < j.Site.TargetVersion(model) && j.Site.VersionExpired(model)
}

// chooseEngine compares the engines of each version separately, because parts that were
// prefilled under one version cannot be used under another.
func (j *job) chooseEngine(e document.Engine) (choice, bool) {
	now := time.Now()
	prompt := j.request.Prompt
	target := j.Site.TargetVersion(prompt.Model)
	groups := map[int64][]choose.Candidate{}
	for _, c := range j.candidates(now) {
		if j.Site.Busy(c.Server.ID) {
			continue
		}
		v := j.Site.Version(c.Server, prompt.Model)
		if j.outdated(v) {
			continue
		}
		groups[v] = append(groups[v], c)
	}
	var found choice
	best, fits := -1.0, false
	for v, all := range groups {
		salt := j.salt(v)
		p := j.enginePicker(e, salt, now).Pick(all)
		if v < target {
			p.CostMillis += oldVersionMillis
		}
		if p.Index < 0 || fits && !p.Fits || fits == p.Fits && best >= 0 && p.CostMillis >= best {
			continue
		}
		best, fits = p.CostMillis, p.Fits
		found = j.engineChoice(e, v, salt, all[p.Index], p, now)
		found.free = p.FreeTokens
		found.fields["candidates"], found.fields["newest"] = len(all), target
	}
	found.fits = fits
	return found, best >= 0
}

func (j *job) enginePicker(e document.Engine, salt string, now time.Time) choose.EnginePicker {
	return choose.EnginePicker{
		Now: now, Zone: j.Zone, Parts: j.parts(salt, e, now), Output: j.request.Prompt.Output, Capacity: e.CapacityTokens, Random: newRandom(),
		TokensPerEvent: e.TokensPerEvent, EventGap: j.route.EventGapTarget, Entries: j.Site.Entries(), PastTarget: now.After(j.queueItem().Rank.TargetTime),
		Holds: func(server string, p choose.Part) bool { return j.Residency.Holds(server, p.Salt, p.ID, p.Tokens, now) },
	}
}

// salt returns the salt, which separates what must not be shared: other weights, and isolated
// workspaces. A document that came into force since the request arrived counts for it too.
//
// An engine finds a part only under the salt of its prefill, so a wrong choice of engine
// cannot mix them up.
func (j *job) salt(version int64) string {
	if version == 0 {
		// It is unknown which weights the parts would be prefilled with.
		return salt.OfAttempt(j.workspace.Name, j.request.Attempt)
	}
	return j.Site.Salt(j.request.Prompt.Model, version, j.workspace.Name).String()
}

func (j *job) parts(salt string, e document.Engine, now time.Time) []choose.Part {
	prompt := j.request.Prompt
	all := make([]choose.Part, len(prompt.Parts))
	for i, p := range prompt.Parts {
		all[i] = choose.Part{Salt: salt, ID: p.ID, Tokens: p.Tokens, Shared: i < len(prompt.Parts)-1}
		if all[i].Shared && !p.Opaque {
			all[i].Copies = j.copies(salt, p, e, now)
		}
	}
	return all
}

// copies returns where a part is available: in stores and in the memory of engines. Engines
// that report the part come before those that have probably prefilled it by now.
func (j *job) copies(salt string, p request.Part, e document.Engine, now time.Time) []choose.Copy {
	all := j.Site.Copies(salt, p.ID, p.Tokens)
	for i := range all {
		all[i].QueuedTokens = j.Tracker.FetchTokens(all[i].Address) + j.PeerLoads.Load(all[i].Address, now).PrefillTokens
	}
	if e.LinkRate <= 0 {
		return all
	}
	stored := len(all) > 0
	for _, h := range j.Residency.Holders(salt, p.ID, p.Tokens, now) {
		s, ok := j.Site.Server(h.Server)
		assumed := !h.SentAt.IsZero()
		if !ok || s.Silent || assumed && (stored || now.Sub(h.SentAt) < assumedPrefillTime) {
			continue
		}
		all = append(all, choose.Copy{
			Server: s.ID, Address: s.Address, Zone: s.Zone,
			PerToken:     time.Duration(e.TokenBytes / e.LinkRate * float64(time.Second)),
			QueuedTokens: j.Tracker.FetchTokens(s.Address) + j.PeerLoads.Load(s.Address, now).PrefillTokens,
		})
	}
	return all
}

func (j *job) engineChoice(e document.Engine, version int64, salt string, c choose.Candidate, p choose.Plan, now time.Time) choice {
	prompt := j.request.Prompt
	d := j.dispatch(now)
	d.Urgency, d.Version, d.Salt = j.urgency(), version, salt
	d.Fetch = p.Fetch
	reserved := prompt.Tokens + prompt.Output
	return choice{
		server:   c.Server,
		dispatch: d,
		attempt:  observe.Attempt{PrefillTokens: p.PrefillTokens, ReservedTokens: reserved, FetchTokens: fetchTokens(p, prompt.Parts)},
		prepare:  func(d *request.Dispatch) { j.prepare(d, version, now) },
		sent:     func() { j.recordParts(c.Server, salt, e, p.Sources, now) },
		describe: func(f log.Fields) { j.describeLongest(f, salt, e, now) },
		fields: log.Fields{
			"kind": "engine", "cost-ms": p.CostMillis, "missing": p.PrefillTokens, "from": p.Sources, "tokens": prompt.Tokens, "version": version,
			"in-flight": c.Stats.InFlight, "reading": c.Stats.PrefillTokens, "held": c.Stats.ReservedTokens, "load-age-ms": reportAgeMillis(c.Stats, now),
			"event-gap-ms": c.Stats.EventGap.Milliseconds(),
		},
	}
}

// describeLongest adds to the log fields what was known of the longest shared part, if that is
// long.
func (j *job) describeLongest(f log.Fields, salt string, e document.Engine, now time.Time) {
	shared := j.request.Prompt.Parts[:max(0, len(j.request.Prompt.Parts)-1)]
	at, most := -1, longPartTokens-1
	for i, p := range shared {
		if p.Tokens > most {
			at, most = i, p.Tokens
		}
	}
	if at < 0 {
		return
	}
	p := shared[at]
	f["part"] = strconv.FormatUint(stores.Part{Salt: salt, ID: p.ID}.Hash(), 16)
	f["part-place"], f["part-tokens"], f["places"] = at, p.Tokens, len(j.copies(salt, p, e, now))
	f["stores-age-ms"] = -1
	if age, fencing := j.Site.StoreState(); fencing != 0 {
		f["stores-age-ms"], f["stores-fencing"] = age.Milliseconds(), fencing
	}
}

// fetchTokens returns how many tokens are fetched from each store.
func fetchTokens(p choose.Plan, parts []request.Part) map[string]int {
	all := map[string]int{}
	for i, part := range parts {
		if p.Fetch[i] != "" && p.Sources[i] != 'm' {
			all[p.Fetch[i]] += part.Tokens
		}
	}
	return all
}

// prepare sets what is determined only when the request is sent: the stores that save its
// parts, and the deadline of its fetches.
//
// The deadline counts from the choice of the sources. Since then the request may have waited, or this process may have
// been suspended, and a part that was withdrawn right after the choice is freed after that time.
func (j *job) prepare(d *request.Dispatch, version int64, chosenAt time.Time) {
	if d.FetchDeadline = j.Site.FetchDeadline(); d.FetchDeadline != 0 {
		d.FetchDeadline -= time.Since(chosenAt).Milliseconds()
	}
	if d.FetchDeadline == 0 || time.Since(chosenAt) >= stores.FetchWindow {
		d.Fetch, d.FetchDeadline = nil, 0
	}
	parts := j.request.Prompt.Parts
	if version == 0 {
		return
	}
	if now := j.salt(version); now != d.Salt {
		// A document came into force since the choice.
		d.Salt, d.Fetch = now, nil
	}
	d.Save = make([]string, len(parts))
	for i, p := range parts[:max(0, len(parts)-1)] {
		if !p.Opaque && (d.Fetch == nil || d.Fetch[i] == "") {
			d.Save[i] = j.Site.SaveTarget(d.Salt, p.ID, p.Tokens)
		}
	}
}

// recordParts records the parts that the engine will hold, and reports long shared parts that
// were available nowhere else to the other entries. The prefill of a short part costs less
// than its report.
func (j *job) recordParts(s directory.Server, salt string, e document.Engine, from string, now time.Time) {
	parts := j.request.Prompt.Parts
	for i, p := range parts[:max(0, len(parts)-1)] {
		j.Residency.RecordSent(s.ID, salt, p.ID, p.Tokens, e.CapacityTokens, now)
		if from[i] == 'r' && p.Tokens >= longPartTokens && !p.Opaque {
			j.Site.ReportPrefill(salt, p.ID, p.Tokens, s.ID)
		}
	}
}
