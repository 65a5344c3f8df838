package status

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/entry/operator"
	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/node"
)

// timeout bounds all queries for one report.
const timeout = 2 * time.Second

// Control is the control log.
type Control interface {
	// Read answers a query of one section.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
	// Holders returns the entries that hold a settings lease.
	Holders(ctx context.Context) ([]protocol.HolderRevision, error)
	// Statuses returns the status of each replica that answers, by address.
	Statuses(ctx context.Context) map[string]replica.Status
}

// Config configures the status report.
type Config struct {
	// Entry is this entry's name.
	Entry string
	// Replicas are the control replicas listed in the node file.
	Replicas []node.Peer
	// Control is the control log.
	Control Control
	// Settings provides the entry's copy of the settings.
	Settings interface{ View() follower.View }
	// Servers provides the backend servers.
	Servers interface{ View() membership.View }
	// Quarantined returns the number of quarantined requests.
	Quarantined func() int
	// Now returns the local time.
	Now func() time.Time
}

type collector struct {
	Config
}

// Action returns the operator request GET /status.
func Action(c Config) operator.Action {
	reporter := &collector{Config: c}
	return operator.Action{
		Pattern: "GET /status",
		Run: func(w http.ResponseWriter, r *http.Request, _ string) error {
			return operator.WriteJSON(w, http.StatusOK, reporter.collect(r.Context()))
		},
	}
}

func (c *collector) collect(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := Report{
		Entry:       c.Entry,
		Revision:    c.Settings.View().Revision(),
		Replicas:    c.replicas(ctx),
		Servers:     c.servers(),
		Quarantined: c.Quarantined(),
	}
	holders, err := c.Control.Holders(ctx)
	if err != nil {
		r.Problems = append(r.Problems, "settings leases: "+err.Error())
	}
	for _, h := range holders {
		r.Entries = append(r.Entries, Entry{Name: h.Holder.Name, Revision: h.Revision})
	}
	if r.Ledger, err = c.ledger(ctx); err != nil {
		r.Problems = append(r.Problems, "ledger: "+err.Error())
	}
	return r
}

func (c *collector) replicas(ctx context.Context) []Replica {
	statuses := c.Control.Statuses(ctx)
	all := make([]Replica, 0, len(c.Replicas))
	for _, p := range c.Replicas {
		r := Replica{Name: p.Name, Address: p.Address.String(), Role: "unreachable"}
		if s, ok := statuses[r.Address]; ok {
			r.Role, r.Term, r.Applied = s.Role, s.Term, s.Applied
			r.Identity, r.CaughtUp = string(s.Identity), s.CaughtUp
			r.Voters, r.Votes = voters(s)
		}
		all = append(all, r)
	}
	return all
}

// voters returns the number of voting members and whether the replica is one of them.
func voters(s replica.Status) (n int, votes bool) {
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		n++
		votes = votes || m.Identity == s.Identity
	}
	return n, votes
}

func (c *collector) ledger(ctx context.Context) (ledger.Counts, error) {
	q, err := codec.Marshal(ledger.Query{Counts: &ledger.CountsQuery{}})
	if err != nil {
		return ledger.Counts{}, err
	}
	b, err := c.Control.Read(ctx, ledger.Name, q)
	if err != nil {
		return ledger.Counts{}, err
	}
	return codec.Unmarshal[ledger.Counts](b)
}

func (c *collector) servers() []Server {
	now := c.Now()
	v := c.Servers.View()
	all := make([]Server, 0, v.Len())
	for s := range v.All() {
		a := s.Announcement()
		load, _ := s.Load()
		server := Server{
			Identity:     a.Identity,
			Kind:         string(a.Kind),
			Zone:         a.Zone,
			Address:      a.Address,
			State:        string(a.State),
			Holds:        slices.Clone(a.Services),
			AgeMillis:    s.Age(now).Milliseconds(),
			Running:      load.Running,
			QueuedTokens: load.QueuedTokens,
		}
		for _, h := range a.Holdings {
			server.Holds = append(server.Holds, h.Model+"@"+h.WeightVersion)
		}
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.Identity, b.Identity) })
	return all
}
