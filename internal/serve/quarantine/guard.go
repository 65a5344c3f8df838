package quarantine

import (
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/policy/suspicion"
)

const (
	// confirmAfter is how long after a connection broke a server counts as lost, unless it has
	// responded in the meantime. Faulty servers break off single responses.
	confirmAfter = 60 * time.Millisecond
	// responseSlack is how long after a server was lost a response that it sent before may be read.
	responseSlack = 20 * time.Millisecond
	// maxPending bounds the runs that wait to be reported; the control log takes as many at once.
	maxPending = 1024
	// hold is how long after its last loss a quarantined request is released. Each release of one that
	// still crashes servers costs two of them.
	hold = time.Hour
	// untilCleared is the retry time of a request that only an operator clears.
	untilCleared = 10 * time.Minute
)

// Run is a request that a server ran when it was lost.
type Run struct {
	// Fingerprint identifies the request.
	Fingerprint suspicion.Fingerprint
	// Attempt is the attempt's ID, for the log.
	Attempt string
	// Workspace is the caller's workspace.
	Workspace string
	// Server and Incarnation identify the server.
	Server      string
	Incarnation uint64
	// SentAt is when the request was sent, LostAt when its connection broke.
	SentAt, LostAt time.Time
}

// Config is the configuration of a Guard.
type Config struct {
	// RespondedAt returns when the server last responded to this entry.
	RespondedAt func(server string) time.Time
	// Logger receives the log events.
	Logger log.Interface
}

// Guard holds the quarantined requests, and what this entry has to report of its own.
type Guard interface {
	// Quarantined returns for how long the request is not to be sent, zero if it may be.
	Quarantined(f suspicion.Fingerprint, now time.Time) time.Duration
	// Lost records a run that ended because its server closed the connection.
	Lost(r Run)
	// Answered records that a server has answered the request completely.
	Answered(f suspicion.Fingerprint, now time.Time)
	// Apply applies the quarantine of a request that a replica shows.
	Apply(f suspicion.Fingerprint, p section.Period, now time.Time)
	// Pending returns what is to be reported, and false if there is nothing. It stays pending until
	// Reported is called.
	Pending(now time.Time) (section.Command, bool)
	// Reported drops what Pending returned last.
	Reported()
	// Len returns how many requests are quarantined.
	Len() int
}

type guard struct {
	Config
	mu      sync.Mutex
	periods map[suspicion.Fingerprint]section.Period
	answers answers
	lost    []Run
	// answered are requests whose quarantine this entry refutes.
	answered []suspicion.Fingerprint
	// reported and refuted count the runs and the refutations that Pending returned last.
	reported, refuted int
}

// New returns a Guard without any quarantined request.
func New(c Config) Guard {
	return &guard{Config: c, periods: map[suspicion.Fingerprint]section.Period{}, answers: newAnswers()}
}

// Quarantined implements Guard.
func (g *guard) Quarantined(f suspicion.Fingerprint, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.periods[f]
	switch {
	case !ok || !p.Quarantined:
		return 0
	case p.Release == 0:
		return untilCleared
	default:
		return max(0, time.UnixMilli(p.Release).Sub(now))
	}
}

// Lost implements Guard.
func (g *guard) Lost(r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lost) < maxPending {
		g.lost = append(g.lost, r)
	}
}

// Answered implements Guard.
func (g *guard) Answered(f suspicion.Fingerprint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers.record(f, now)
	if g.periods[f].Quarantined {
		g.answered = append(g.answered, f)
	}
}

// Apply implements Guard. A request that this entry has answered since its first loss doesn't crash the servers
// that run it.
func (g *guard) Apply(f suspicion.Fingerprint, p section.Period, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Version <= g.periods[f].Version {
		return
	}
	g.periods[f] = p
	refuted := p.Quarantined && g.answers.since(f, time.UnixMilli(p.FirstLoss))
	if refuted {
		g.answered = append(g.answered, f)
	}
	event.QuarantineChanged.Write(g.Logger, log.Fields{
		"fingerprint": f.String(), "quarantined": p.Quarantined, "version": p.Version, "refuted": refuted,
		"since-ms": now.UnixMilli() - p.FirstLoss,
	})
}

// Pending implements Guard.
func (g *guard) Pending(now time.Time) (section.Command, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuted = len(g.answered)
	if g.refuted > 0 {
		g.reported = 0
		return section.Command{Answered: &section.Answered{Fingerprints: g.answered[:g.refuted:g.refuted]}}, true
	}
	g.dropResponsive(now)
	g.reported = 0
	for g.reported < len(g.lost) && now.Sub(g.lost[g.reported].LostAt) >= confirmAfter {
		g.reported++
	}
	if g.reported == 0 {
		return section.Command{}, false
	}
	return section.Command{Losses: losses(g.lost[:g.reported], now)}, true
}

// dropResponsive drops the runs whose servers have responded since.
func (g *guard) dropResponsive(now time.Time) {
	kept := g.lost[:0]
	for _, r := range g.lost {
		if now.Sub(r.LostAt) < confirmAfter || !g.RespondedAt(r.Server).After(r.LostAt.Add(responseSlack)) {
			kept = append(kept, r)
		}
	}
	clear(g.lost[len(kept):])
	g.lost = kept
}

// losses groups the runs by server.
func losses(runs []Run, now time.Time) []section.Lost {
	var all []section.Lost
	index := map[string]int{}
	for _, r := range runs {
		i, ok := index[r.Server]
		if !ok {
			i = len(all)
			index[r.Server] = i
			all = append(all, section.Lost{
				Server: r.Server, Incarnation: r.Incarnation, Ago: now.Sub(r.LostAt),
				Servers: suspicion.DefaultServers, Window: suspicion.DefaultWindow, Hold: hold,
			})
		}
		all[i].Running = append(all[i].Running, section.Running{
			Fingerprint: r.Fingerprint, Workspace: r.Workspace, Age: max(time.Nanosecond, now.Sub(r.SentAt)),
		})
	}
	return all
}

// Reported implements Guard.
func (g *guard) Reported() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.lost[:g.reported] {
		event.ServerLostUnder.Write(g.Logger, log.Fields{
			"server": r.Server, "workspace": r.Workspace, "fingerprint": r.Fingerprint.String(), "request": r.Attempt,
		})
	}
	g.lost = g.lost[g.reported:]
	g.answered = g.answered[g.refuted:]
	g.reported, g.refuted = 0, 0
}

// Len implements Guard.
func (g *guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.periods {
		if p.Quarantined {
			n++
		}
	}
	return n
}
