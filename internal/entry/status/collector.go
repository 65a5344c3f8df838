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

// timeout bounds all questions of one report.
const timeout = 2 * time.Second

// Control is the control log.
type Control interface {
	// Read answers one section's query.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
	// Holders returns the entries that hold a settings lease.
	Holders(ctx context.Context) ([]protocol.HolderRevision, error)
	// Statuses returns the status of each replica that answers, by address.
	Statuses(ctx context.Context) map[string]replica.Status
}

// Config is what a Collector asks.
type Config struct {
	// Entry is this entry's name.
	Entry string
	// Replicas are the control replicas of the node file.
	Replicas []node.Peer
	// Control is the control log.
	Control Control
	// Settings is the entry's copy of the settings.
	Settings interface{ View() follower.View }
	// Servers are the backend servers.
	Servers interface{ View() membership.View }
	// Quarantined returns the number of quarantined requests.
	Quarantined func() int
	// Now returns the local time.
	Now func() time.Time
}

type collector struct {
	Config
}

// Action returns the operators' request GET /status.
func Action(c Config) operator.Action {
	k := &collector{Config: c}
	return operator.Action{
		Pattern: "GET /status",
		Run: func(w http.ResponseWriter, r *http.Request, _ string) error {
			return operator.WriteJSON(w, http.StatusOK, k.collect(r.Context()))
		},
	}
}

func (k *collector) collect(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := Report{
		Entry:       k.Entry,
		Revision:    k.Settings.View().Revision(),
		Replicas:    k.replicas(ctx),
		Servers:     k.servers(),
		Quarantined: k.Quarantined(),
	}
	holders, err := k.Control.Holders(ctx)
	if err != nil {
		r.Problems = append(r.Problems, "settings leases: "+err.Error())
	}
	for _, h := range holders {
		r.Entries = append(r.Entries, Entry{Name: h.Holder.Name, Revision: h.Revision})
	}
	if r.Ledger, err = k.ledger(ctx); err != nil {
		r.Problems = append(r.Problems, "ledger: "+err.Error())
	}
	return r
}

func (k *collector) replicas(ctx context.Context) []Replica {
	found := k.Control.Statuses(ctx)
	all := make([]Replica, 0, len(k.Replicas))
	for _, p := range k.Replicas {
		r := Replica{Name: p.Name, Address: p.Address.String(), Role: "unreachable"}
		if s, ok := found[r.Address]; ok {
			r.Role, r.Term, r.Applied = s.Role, s.Term, s.Applied
			r.Identity, r.CaughtUp = string(s.Identity), s.CaughtUp
			r.Voters, r.Votes = voters(s)
		}
		all = append(all, r)
	}
	return all
}

// voters returns how many members vote and whether the replica is one of them.
func voters(s replica.Status) (n int, itself bool) {
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		n++
		itself = itself || m.Identity == s.Identity
	}
	return n, itself
}

func (k *collector) ledger(ctx context.Context) (ledger.Counts, error) {
	q, err := codec.Marshal(ledger.Query{Counts: &ledger.CountsQuery{}})
	if err != nil {
		return ledger.Counts{}, err
	}
	b, err := k.Control.Read(ctx, ledger.Name, q)
	if err != nil {
		return ledger.Counts{}, err
	}
	return codec.Unmarshal[ledger.Counts](b)
}

func (k *collector) servers() []Server {
	now := k.Now()
	v := k.Servers.View()
	all := make([]Server, 0, v.Len())
	for s := range v.All() {
		a := s.Announcement()
		load, _ := s.Load()
		x := Server{
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
			x.Holds = append(x.Holds, h.Model+"@"+h.WeightVersion)
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.Identity, b.Identity) })
	return all
}
