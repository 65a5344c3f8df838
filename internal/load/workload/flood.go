package workload

import "slices"

// WithFlood returns d with a workspace that sends so many more requests that the total grows by
// factor. If the rate grows by the same factor, the other workspaces send as many as before.
func (d Deployment) WithFlood(workspace string, factor float64) Deployment {
	d.Workspaces = slices.Clone(d.Workspaces)
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if w.Name == workspace {
			w.RequestShare += factor - 1
		}
		w.RequestShare /= factor
	}
	return d
}
