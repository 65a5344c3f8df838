package orders

import "hornbeamwood/internal/fleet/membership"

func serversOf(g *host) []*membership.Server {
	v := g.table.View()
	var all []*membership.Server
	for s := range v.All() {
		all = append(all, s)
	}
	return all
}
