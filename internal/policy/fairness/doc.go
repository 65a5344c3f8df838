// Package fairness orders waiting requests by deficit round robin over their
// estimated cost, weighted by the workspaces' shares.
package fairness
