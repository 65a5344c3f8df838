package rules

import "time"

// EvacuatedZonesSetting is the name of the setting that holds Fleet.EvacuatedZones.
const EvacuatedZonesSetting = "evacuated-zones"

// Fleet contains the effective settings that belong to no workspace.
type Fleet struct {
	// SettingsLease is how long an entry accepts new work after its last proof that its settings are in force; read by entry/settings.
	SettingsLease time.Duration `cbor:"settings-lease"`
	// ServeWithoutQuorum lets entries continue to serve under their last settings when no quorum answers; read by entry/settings.
	ServeWithoutQuorum bool `cbor:"serve-without-quorum"`
	// AnnouncementAge is the age of a backend server's last announcement after which it gets no new work; read by entry/completion.
	AnnouncementAge time.Duration `cbor:"announcement-age"`
	// WeightLoads is the maximum number of concurrent weight loads; read by fleet/orders.
	WeightLoads int `cbor:"weight-loads"`
	// OrderLease is the lease of the process that sends orders; read by entry/backend.
	OrderLease time.Duration `cbor:"order-lease"`
	// RetryShare is the share of all requests that may be retried.
	RetryShare float64 `cbor:"retry-share"`
	// QuarantineServers is the number of distinct backend servers lost while running requests of one fingerprint at which that fingerprint is quarantined; read by process/entry.
	QuarantineServers int `cbor:"quarantine-servers"`
	// QuarantineWindow is the time window in which those losses count; read by process/entry.
	QuarantineWindow time.Duration `cbor:"quarantine-window"`
	// AdmittedReplicas are the identities of control replicas that operators have admitted to replace the members of the same name.
	AdmittedReplicas []string `cbor:"admitted-replicas"`
	// EvacuatedZones are the availability zones whose backend servers get no new requests; read by entry/completion and process/entry.
	EvacuatedZones []string `cbor:"evacuated-zones,omitempty"`
	// AnnounceKeyDigests are the SHA-256 digests of the keys with which backend servers announce themselves; read by process/entry.
	AnnounceKeyDigests [][32]byte `cbor:"announce-key-digests"`
}
