package tree

import "time"

// SettingsLease returns the effective settings lease.
func (t Tree) SettingsLease() time.Duration {
	return builder{tree: t}.fleet().SettingsLease
}

// AdmittedReplicas returns the identities of the control replicas that operators have admitted.
func (t Tree) AdmittedReplicas() []string {
	return builder{tree: t}.fleet().AdmittedReplicas
}

// ServeWithoutQuorum reports whether entries may continue to serve when no quorum answers.
func (t Tree) ServeWithoutQuorum() bool {
	return builder{tree: t}.fleet().ServeWithoutQuorum
}
