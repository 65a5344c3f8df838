package tree

import "time"

// SettingsLease returns the effective settings lease.
func (t Tree) SettingsLease() time.Duration {
	return builder{tree: t}.fleet().SettingsLease
}

// ServeWithoutQuorum returns whether entries may serve on when no quorum answers.
func (t Tree) ServeWithoutQuorum() bool {
	return builder{tree: t}.fleet().ServeWithoutQuorum
}
