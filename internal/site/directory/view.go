package directory

import "slices"

// View is an immutable snapshot of the directory.
type View struct {
	services  map[string][]Server
	servers   map[string]Server
	evacuated []string
	// withdrawn are the services with a ready server in an evacuated zone.
	withdrawn map[string]bool
}

// Service returns the ready servers of a service outside evacuated zones, sorted by ID.
func (v *View) Service(name string) []Server {
	return v.services[name]
}

// Server returns the newest incarnation of id.
func (v *View) Server(id string) (Server, bool) {
	s, ok := v.servers[id]
	return s, ok
}

// Withdrawn returns whether all ready servers of a service are in evacuated zones.
func (v *View) Withdrawn(service string) bool {
	return v.withdrawn[service] && len(v.services[service]) == 0
}

// Usable returns whether requests may be sent to the server: it is ready, and its zone isn't evacuated.
func (v *View) Usable(s Server) bool {
	return s.State == Ready && !slices.Contains(v.evacuated, s.Zone)
}

// newView returns the view of rows. Of several servers at one address, a service contains at most
// the one that started last: the others are gone, even if they haven't announced it.
func newView(rows map[string]Server, evacuated []string) *View {
	v := &View{services: map[string][]Server{}, servers: make(map[string]Server, len(rows)), evacuated: evacuated, withdrawn: map[string]bool{}}
	latest := map[string]Server{}
	for _, s := range rows {
		v.servers[s.ID] = s
		if other, ok := latest[s.Address]; !ok || s.StartedAt > other.StartedAt {
			latest[s.Address] = s
		}
	}
	for _, s := range latest {
		switch {
		case v.Usable(s):
			v.services[s.Service] = append(v.services[s.Service], s)
		case s.State == Ready:
			v.withdrawn[s.Service] = true
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
