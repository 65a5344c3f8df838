package siteentry

import "slices"

// memberLists maps each control replica to the replicas that it lists as members.
//
// Replicas learn of a change one after the other. If an entry used only the most recent list, a slow replica
// that doesn't list a new one yet would make it stop polling the new one. It would not start again, since lists
// are sent only when they change. So the entry polls every replica that is in any list.
type memberLists map[string][]string

// union returns all listed replicas in sorted order.
func (m memberLists) union() []string {
	var all []string
	for _, list := range m {
		all = append(all, list...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
