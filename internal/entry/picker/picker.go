package picker

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/policy/outage"
)

// retryAfter is the Retry-After when no server runs the service, about the duration of a restart.
const retryAfter = 2 * time.Second

// Servers provides the backend servers known to this entry.
type Servers interface {
	// View returns the current view of all servers.
	View() membership.View
}

// Config configures a Picker.
type Config struct {
	// Servers provides the backend servers.
	Servers Servers
	// Work counts the calls sent since the servers' load reports.
	Work membership.Work
	// MaxAnnouncementAge returns the maximum age of a server's last announcement.
	MaxAnnouncementAge func() time.Duration
	// Backoffs are the servers that requested a backoff of this entry; nil for none.
	Backoffs backoff.Backoffs
	// Outages are the servers at which this entry's calls have failed; nil for none.
	Outages outage.Outages
	// EvacuatedZones returns the availability zones whose servers get no calls.
	EvacuatedZones func() []string
	// Zone is this entry's availability zone.
	Zone string
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// Random breaks ties between equal servers.
	Random *rand.Rand
	// Logger receives the decisions.
	Logger log.Interface
}

type picker struct {
	Config
	mu sync.Mutex
}

// New returns a service.Picker that picks the server with the fewest calls and, among equals, prefers its own
// availability zone. A server at which a call has failed since its last announcement comes last.
func New(c Config) service.Picker {
	if c.Backoffs == nil {
		c.Backoffs = backoff.New()
	}
	if c.Outages == nil {
		c.Outages = outage.New()
	}
	return &picker{Config: c}
}

// candidate is one server that may get the call.
type candidate struct {
	server *membership.Server
	calls  int
	remote bool
	// lost is set if a call failed there since the server was last seen.
	lost bool
}

// Pick implements service.Picker.
func (p *picker) Pick(_ context.Context, r service.Request, excluded []string) (service.Server, error) {
	now := p.Now()
	all, inBackoff := p.candidates(now, r.Service, excluded)
	if len(all) == 0 && inBackoff > 0 {
		return service.Server{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "servers-backoff",
			"all backend servers of the service have requested a backoff").WithRetryAfter(inBackoff)
	}
	if len(all) == 0 {
		return service.Server{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-server",
			"no backend server runs the service now").WithRetryAfter(retryAfter)
	}
	c := p.choose(all)
	a := c.server.Announcement()
	p.Work.Sent(now, c.server.Key(), 0)
	p.Backoffs.Reserve(a.Identity, 0, now)
	event.CallRouted.Write(p.Logger, log.Fields{
		"request": r.ID, "workspace": r.Workspace, "service": r.Service,
		"server": a.Identity, "calls": c.calls, "candidates": len(all), "excluded": len(excluded),
	})
	return service.Server{Identity: a.Identity, Address: a.Address}, nil
}

// candidates returns the servers that may get a call, and how long the others are in backoff at least, zero if none does.
func (p *picker) candidates(now time.Time, name string, excluded []string) (all []candidate, inBackoff time.Duration) {
	need := membership.Need{Kind: announcement.Service, Service: name, Age: p.MaxAnnouncementAge(), EvacuatedZones: p.EvacuatedZones()}
	view := p.Servers.View()
	for s := range view.All() {
		a := s.Announcement()
		if slices.Contains(excluded, a.Identity) || s.Eligible(now, need) != membership.Eligible {
			continue
		}
		if w := p.Backoffs.Wait(a.Identity, now); w > 0 {
			if inBackoff == 0 || w < inBackoff {
				inBackoff = w
			}
			continue
		}
		load, _ := s.Load()
		w := p.Work.Pending(now, s.Key(), s.LoadMeasuredAt())
		all = append(all, candidate{
			server: s,
			calls:  load.Running + w.Requests + w.PeerRequests,
			remote: a.Zone != p.Zone,
			lost:   p.Outages.LostAfter(now.Add(-s.Age(now)), a.Identity),
		})
	}
	return all, inBackoff
}

// choose returns one of the best candidates at random. Otherwise, entries with the
// same reports would all choose the same server.
func (p *picker) choose(all []candidate) candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return slices.MinFunc(all, func(a, b candidate) int {
		return cmp.Or(rank(a.lost)-rank(b.lost), a.calls-b.calls, rank(a.remote)-rank(b.remote))
	})
}

// rank returns 1 for what is preferred less.
func rank(worse bool) int {
	if worse {
		return 1
	}
	return 0
}
