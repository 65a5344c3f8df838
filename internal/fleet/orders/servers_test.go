package orders

import "hornbeamwood/internal/fleet/membership"

func serversOf(h *host) []*membership.Server {
	v := h.table.View()
	var all []*membership.Server
	for s := range v.All() {
		all = append(all, s)
	}
	return all
}
