package siteentry

import "slices"

// memberLists holds whom each control replica names as replicas.
//
// Replicas learn of a change one after the other. An entry that went by the
// list that came last would stop polling a new replica because a slow one
// doesn't name it yet, and would not begin again: lists are told only when
// they change. So whoever is named by any replica is polled.
type memberLists map[string][]string

// union returns all replicas that are named, in order.
func (m memberLists) union() []string {
	var all []string
	for _, list := range m {
		all = append(all, list...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
