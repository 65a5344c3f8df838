package rules

import "time"

// Fleet holds the effective settings that belong to no workspace.
type Fleet struct {
	// SettingsLease is how long an entry takes new work after its last proof that its settings are in force; read by entry/settings.
	SettingsLease time.Duration `cbor:"settings-lease"`
	// ServeWithoutQuorum lets entries serve on under their last settings when no quorum answers; read by entry/settings.
	ServeWithoutQuorum bool `cbor:"serve-without-quorum"`
	// AnnouncementAge is the age of a backend server's last announcement after which it gets no new work; read by entry/completion.
	AnnouncementAge time.Duration `cbor:"announcement-age"`
	// WeightLoads is the largest number of weight loads at once; read by fleet/orders.
	WeightLoads int `cbor:"weight-loads"`
	// OrderLease is the lease of the one who gives orders; read by entry/backend.
	OrderLease time.Duration `cbor:"order-lease"`
	// RetryShare is the share of all requests that may be tried a second time.
	RetryShare float64 `cbor:"retry-share"`
	// QuarantineServers is the number of different backend servers lost under one fingerprint that quarantines it; read by process/entry.
	QuarantineServers int `cbor:"quarantine-servers"`
	// QuarantineWindow is the time within which those losses count; read by process/entry.
	QuarantineWindow time.Duration `cbor:"quarantine-window"`
	// AdmittedReplicas are the identities of control replicas that operators admit in place of the members of the same name.
	AdmittedReplicas []string `cbor:"admitted-replicas"`
	// AnnounceKeyDigests are the SHA-256 digests of the keys with which backend servers announce themselves; read by process/entry.
	AnnounceKeyDigests [][32]byte `cbor:"announce-key-digests"`
}
