package directory

import "slices"

// View is an immutable snapshot of the directory.
type View struct {
	services map[string][]Server
	servers  map[string]Server
}

// Service returns the ready servers of a service, sorted by ID.
func (v *View) Service(name string) []Server {
	return v.services[name]
}

// Server returns the newest incarnation of id.
func (v *View) Server(id string) (Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// newView returns the view of rows. Of several servers at one address, a service contains at most
// the one that started last: the others are gone, even if they haven't announced it.
func newView(rows map[string]Server) *View {
	v := &View{services: map[string][]Server{}, servers: make(map[string]Server, len(rows))}
	latest := map[string]Server{}
	for _, s := range rows {
		v.servers[s.ID] = s
		if other, ok := latest[s.Address]; !ok || s.StartedAt > other.StartedAt {
			latest[s.Address] = s
		}
	}
	for _, s := range latest {
		if s.State == Ready {
			v.services[s.Service] = append(v.services[s.Service], s)
		}
	}
	for _, all := range v.services {
		slices.SortFunc(all, func(a, b Server) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return v
}
