package workload

import "slices"

// WithFlood returns d with a workspace that sends so much more that all requests together are
// factor times as many; the others send as before when the rate grows by the same factor.
func (d Deployment) WithFlood(workspace string, factor float64) Deployment {
	d.Customers = slices.Clone(d.Customers)
	for i := range d.Customers {
		c := &d.Customers[i]
		if c.Workspace == workspace {
			c.Part += factor - 1
		}
		c.Part /= factor
	}
	return d
}
