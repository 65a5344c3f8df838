package completion

import (
	"time"

	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/entry/caller"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/policy/route"
)

// view is the input of one routing decision, with the servers to which its indexes refer.
type view struct {
	cell    route.Cell
	servers []*membership.Server
	stores  []*membership.Server
	// backoff is how long the engines that have requested a backoff are in it at least, zero if none has.
	backoff time.Duration
}

// view returns the engines that may get the request and the stores of the cell.
func (r *router) view(now time.Time, j *job) view {
	var v view
	all := r.Servers.View()
	need := j.need()
	for s := range all.All() {
		if j.excluded[s.Announcement().Identity] {
			continue
		}
		if s.Eligible(now, need) == membership.Eligible {
			if w := r.Backoffs.Wait(s.Announcement().Identity, now); w > 0 {
				v.addBackoff(w)
				continue
			}
			v.servers = append(v.servers, s)
			v.cell.Candidates = append(v.cell.Candidates, r.candidate(now, s))
			continue
		}
		if s.Eligible(now, membership.Need{Kind: announcement.Store, Age: need.Age}) == membership.Eligible {
			v.stores = append(v.stores, s)
			v.cell.Stores = append(v.cell.Stores, r.store(now, s))
		}
	}
	return v
}

func (v *view) addBackoff(wait time.Duration) {
	if v.backoff == 0 || wait < v.backoff {
		v.backoff = wait
	}
}

// need returns the requirements of the request on an engine.
func (j *job) need() membership.Need {
	return membership.Need{
		Kind:          announcement.Engine,
		Model:         j.Model.Name,
		WeightVersion: j.Model.WeightVersion,
		Age:           j.Snapshot.Fleet.AnnouncementAge,

		EvacuatedZones: j.Snapshot.Fleet.EvacuatedZones,
	}
}

// peerBand is the band in which the work of other entries counts, because they report only totals.
const peerBand = 0

func (r *router) candidate(now time.Time, s *membership.Server) route.Candidate {
	a := s.Announcement()
	load, _ := s.Load()
	p := r.Work.Pending(now, s.Key(), s.LoadMeasuredAt())
	var since route.Work
	since = since.With(peerBand, int32(p.Requests+p.PeerRequests), p.Tokens+p.PeerTokens)
	c := route.Candidate{
		Identity:        a.Identity,
		Load:            load,
		ReportedAt:      s.LoadMeasuredAt(),
		SentSinceReport: since,
		InFlight:        r.inFlight.of(a.Identity).With(peerBand, int32(p.PeerRequests), p.PeerTokens),
		PriorityAware:   true,
		Reserve:         a.Role == reserveRole,
		Suspect:         r.Guard.RequiresIsolation(now, a.Identity) || r.outages.LostAfter(now.Add(-s.Age(now)), a.Identity),
	}
	if c.Load.PrefillRate <= 0 {
		c.Load.PrefillRate = assumedPrefillRate
	}
	return c
}

const (
	// reserveRole is the role of servers that are reserved for urgent requests.
	reserveRole = "status"
	// assumedPrefillRate, in tokens per second, is used for a server that reports none.
	assumedPrefillRate = 10_000
)

// store returns the state of a store's link, with the bytes that this entry and its peers have added since the store's report.
func (r *router) store(now time.Time, s *membership.Server) route.Store {
	a := s.Announcement()
	load, _ := s.Load()
	p := r.Work.Pending(now, s.Key(), s.LoadMeasuredAt())
	drained := int64(now.Sub(s.LoadMeasuredAt()).Seconds() * load.LinkRate)
	return route.Store{
		Identity:   a.Identity,
		LinkRate:   load.LinkRate,
		LinkQueued: max(load.LinkQueued+p.Tokens+p.PeerTokens-drained, 0),
		DiskRate:   load.LinkRate,
	}
}

// pieces converts locations to indexes of the view; a store or engine that is not in the view is left out.
func (v *view) pieces(tokens int, found directory.Locations) []route.Piece {
	engines, stores := index(v.servers), index(v.stores)
	all := make([]route.Piece, len(found))
	for i, l := range found {
		p := route.Piece{Tokens: tokens}
		for _, e := range l.Engines {
			if at, ok := engines[e]; ok {
				p.Engines = append(p.Engines, at)
			}
		}
		for _, s := range l.Stores {
			if at, ok := stores[s.Store]; ok {
				p.Bytes = s.Bytes
				p.Copies = append(p.Copies, route.Copy{Store: at, Tier: route.Tier(s.Tier)})
			}
		}
		all[i] = p
	}
	return all
}

func index(all []*membership.Server) map[string]int {
	m := make(map[string]int, len(all))
	for i, s := range all {
		m[s.Announcement().Identity] = i
	}
	return m
}

// request returns the part of the routing decision's input that depends on the request.
func (j *job) request(v *view) route.Request {
	r := route.Request{
		Workspace: j.Workspace,
		Model:     j.Model.Name,
		Rules:     j.Rules,
		Tokens:    max(1, len(j.Tokens)),
		Pieces:    v.pieces(j.Model.PieceTokens, j.locations),
	}
	r.Key, _ = j.documentKey()
	return r
}

var _ caller.Completer = (*router)(nil)
