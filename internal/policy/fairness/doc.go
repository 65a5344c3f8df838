// Package fairness orders waiting requests by deficit round robin over their
// estimated cost, weighted by the shares of their workspaces.
package fairness
