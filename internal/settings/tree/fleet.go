package tree

import "time"

// SettingsLease returns the effective settings lease.
func (t Tree) SettingsLease() time.Duration {
	return builder{tree: t}.fleet().SettingsLease
}

// AdmittedReplicas returns the identities of control replicas that operators admit.
func (t Tree) AdmittedReplicas() []string {
	return builder{tree: t}.fleet().AdmittedReplicas
}

// ServeWithoutQuorum returns whether entries may serve on when no quorum answers.
func (t Tree) ServeWithoutQuorum() bool {
	return builder{tree: t}.fleet().ServeWithoutQuorum
}
