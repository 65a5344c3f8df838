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
	// responseSlack is how long after a server was lost a response that it sent before may be read by a process that
	// isn't late itself.
	responseSlack = 20 * time.Millisecond
	// maxPending bounds the runs that wait to be reported; the control log takes as many at once. It also bounds those
	// that were left.
	maxPending = 1024
	// signTime is how long after its caller left a run the server is waited for to show that it lives on.
	signTime = 10 * time.Second
	// hold is how long after its last loss a quarantined request is released. Each release of one that
	// still crashes servers costs two of them.
	hold = time.Hour
	// maxReportedParts bounds the parts of a report.
	maxReportedParts = 8 * maxPending
	// objectionTime is how long entries of a small site have to refute the quarantine of a part before it is in
	// force: a row, a report, a commit and another row.
	objectionTime = 400 * time.Millisecond
)

// Run is a request that a server ran when it was lost, or when its caller left.
type Run struct {
	// Attributes are those of the request.
	Attributes suspicion.Attributes
	// Attempt is the attempt's ID, for the log.
	Attempt string
	// Workspace is the caller's workspace.
	Workspace string
	// Server and Incarnation identify the server.
	Server      string
	Incarnation uint64
	// SentAt is when the request was sent, LostAt when its connection broke or its caller left.
	SentAt, LostAt time.Time
	// Began is set if the server had begun its answer.
	Began bool
}

// Signs are the last signs of a server at this entry.
type Signs struct {
	// RespondedAt is when a response of the server was last read.
	RespondedAt time.Time
	// SentAt is when the newest of those requests was sent to which it has begun an answer, and Incarnation the
	// incarnation that did.
	SentAt      time.Time
	Incarnation uint64
}

// liveAfter returns whether an incarnation of the server ran after the given time.
func (s Signs) liveAfter(incarnation uint64, at time.Time) bool {
	return s.Incarnation == incarnation && s.SentAt.After(at)
}

// Config is the configuration of a Guard.
type Config struct {
	// Signs returns the last signs of a server.
	Signs func(server string) Signs
	// Lag returns by how much this process may have read a response late; nil for not at all.
	Lag func(now time.Time) time.Duration
	// ReportDelay returns how much later than at a small site reports are sent; nil for never.
	ReportDelay func() time.Duration
	// Logger receives the log events.
	Logger log.Interface
}

// Guard holds the quarantined attributes of requests, and what this entry has to report of its own.
type Guard interface {
	// Quarantined returns the attribute for which a request of the workspace isn't to be sent, and false if it may be.
	Quarantined(workspace string, a suspicion.Attributes, now time.Time) (suspicion.Match, bool)
	// Lost records a run that ended because its server closed the connection.
	Lost(r Run)
	// Answered records that a server has answered a request with these attributes.
	Answered(a suspicion.Attributes, now time.Time)
	// Left records a run whose caller left at LostAt after the answer had begun. Its parts count as answered once the
	// server has shown that it lives on.
	Left(r Run)
	// Apply applies the quarantine of an attribute that a replica shows.
	Apply(f suspicion.Fingerprint, p suspicion.Period, now time.Time)
	// Pending returns what is to be reported, and false if there is nothing. It stays pending until
	// Reported is called.
	Pending(now time.Time) (section.Command, bool)
	// Reported drops what Pending returned last, to which the control log answered with the result.
	Reported(r section.Result, now time.Time)
	// Len returns how many attributes are quarantined.
	Len() int
}

type guard struct {
	Config
	mu       sync.Mutex
	register *suspicion.Register
	lost     []Run
	// left are runs whose callers left, oldest first.
	left []Run
	// own is what this entry quarantines by itself.
	own section.Local
	// reported counts the runs and refuted holds the refutations that Pending returned last.
	reported int
	refuted  []suspicion.Fingerprint
	// asked is the part for which Pending asked for a probe last, nil for none.
	asked *suspicion.Fingerprint
}

// New returns a Guard without any quarantined attribute.
func New(c Config) Guard {
	return &guard{Config: c, register: suspicion.NewRegister()}
}

// Quarantined implements Guard.
func (g *guard) Quarantined(workspace string, a suspicion.Attributes, now time.Time) (suspicion.Match, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countOwn(now)
	if m, ok := g.register.Match(workspace, a, now); ok {
		return m, true
	}
	return g.own.Match(workspace, a, now)
}

// Lost implements Guard.
func (g *guard) Lost(r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.register.Lost(r.Attributes)
	if len(g.lost) < maxPending {
		g.lost = append(g.lost, r)
	}
}

// Answered implements Guard.
func (g *guard) Answered(a suspicion.Attributes, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.register.Answered(a, now)
}

// Left implements Guard.
func (g *guard) Left(r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.left) < maxPending {
		g.left = append(g.left, r)
	}
}

// countLeft counts the parts of the runs that were left as answered if their servers have answered later requests. The
// request as a whole doesn't count: what its caller didn't wait for may still end a server.
func (g *guard) countLeft(now time.Time) {
	kept := g.left[:0]
	for _, r := range g.left {
		switch {
		case g.Signs(r.Server).liveAfter(r.Incarnation, r.LostAt):
			g.register.Answered(suspicion.Attributes{Parts: r.Attributes.Parts}, r.LostAt)
		case now.Sub(r.LostAt) < signTime:
			kept = append(kept, r)
		}
	}
	clear(g.left[len(kept):])
	g.left = kept
}

// Apply implements Guard. An attribute of a request that this entry has seen answered since its first loss doesn't
// crash the servers that run it.
func (g *guard) Apply(f suspicion.Fingerprint, p suspicion.Period, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	news, refuted := g.register.Apply(f, p, now)
	if !news {
		return
	}
	event.QuarantineChanged.Write(g.Logger, log.Fields{
		"fingerprint": f.String(), "kind": string(p.Kind), "quarantined": p.Quarantined, "version": p.Version, "refuted": refuted,
		"since-ms": now.UnixMilli() - p.FirstLoss, "only-workspace": p.Workspace, "companions": len(p.With), "delay-ms": p.Delay.Milliseconds(),
	})
}

// Pending implements Guard.
func (g *guard) Pending(now time.Time) (section.Command, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reported, g.asked = 0, nil
	g.countLeft(now)
	if g.refuted = g.register.Refuted(); len(g.refuted) > 0 {
		return section.Command{Answered: &section.Answered{Fingerprints: g.refuted}}, true
	}
	g.dropResponsive(now)
	for g.reported < len(g.lost) && now.Sub(g.lost[g.reported].LostAt) >= confirmAfter {
		g.reported++
	}
	if g.reported > 0 {
		return section.Command{Losses: g.losses(g.lost[:g.reported], now)}, true
	}
	f, ok := g.register.Wanted()
	if !ok {
		return section.Command{}, false
	}
	g.asked = &f
	return section.Command{Begin: &section.Begin{Fingerprint: f}}, true
}

// dropResponsive drops the runs whose servers have responded since.
func (g *guard) dropResponsive(now time.Time) {
	kept := g.lost[:0]
	for _, r := range g.lost {
		if now.Sub(r.LostAt) < confirmAfter || !g.responsive(r, now) {
			kept = append(kept, r)
		}
	}
	clear(g.lost[len(kept):])
	g.lost = kept
}

// responsive returns whether the server of a run has responded since the run ended.
func (g *guard) responsive(r Run, now time.Time) bool {
	slack := responseSlack
	if g.Lag != nil {
		slack += g.Lag(now)
	}
	signs := g.Signs(r.Server)
	return signs.RespondedAt.After(r.LostAt.Add(slack)) || signs.liveAfter(r.Incarnation, r.LostAt)
}

// losses returns the runs of a report, grouped by server.
func (g *guard) losses(runs []Run, now time.Time) []section.Lost {
	var all []section.Lost
	index, room := map[string]int{}, maxReportedParts
	for _, r := range runs {
		i, ok := index[r.Server]
		if !ok {
			i = len(all)
			index[r.Server] = i
			all = append(all, section.Lost{
				Server: r.Server, Incarnation: r.Incarnation, Ago: now.Sub(r.LostAt),
				Servers: suspicion.DefaultServers, PartServers: suspicion.DefaultPartServers, Window: suspicion.DefaultWindow, Hold: hold, Delay: g.delay(),
			})
		}
		parts := g.register.Unanswered(r.Attributes)
		parts = parts[:min(len(parts), room)]
		room -= len(parts)
		all[i].Running = append(all[i].Running, section.Running{
			Fingerprint: r.Attributes.Request, Workspace: r.Workspace, Age: max(time.Nanosecond, now.Sub(r.SentAt)), Parts: parts, Began: r.Began,
		})
	}
	return all
}

// delay returns how long entries have to refute the quarantine of a part.
func (g *guard) delay() time.Duration {
	return objectionTime + g.reportDelay()
}

// reportDelay returns how much later than at a small site reports are sent.
func (g *guard) reportDelay() time.Duration {
	if g.ReportDelay == nil {
		return 0
	}
	return g.ReportDelay()
}

// Reported implements Guard.
func (g *guard) Reported(result section.Result, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asked != nil {
		g.register.Asked(*g.asked, result.Granted, now)
		g.asked = nil
		return
	}
	for _, r := range g.lost[:g.reported] {
		event.ServerLostUnder.Write(g.Logger, log.Fields{
			"server": r.Server, "workspace": r.Workspace, "fingerprint": r.Attributes.Request.String(), "request": r.Attempt,
			"began": r.Began, "parts": shortNames(r.Attributes.Parts), "suspect-parts": shortNames(g.register.Unanswered(r.Attributes)),
		})
	}
	g.lost = g.lost[g.reported:]
	g.register.DropRefuted(g.refuted)
	g.reported, g.refuted = 0, nil
}

// Len implements Guard.
func (g *guard) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.register.Len()
}

// shortNames returns the first digits of fingerprints, of a bounded number of them.
func shortNames(all []suspicion.Fingerprint) []string {
	const most, digits = 8, 12
	names := make([]string, 0, min(most, len(all)))
	for _, f := range all[:min(most, len(all))] {
		names = append(names, f.String()[:digits])
	}
	return names
}
