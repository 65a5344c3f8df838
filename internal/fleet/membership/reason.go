package membership

// Reason is Eligible or the reason why a server may not get a request.
type Reason string

const (
	// Eligible means that the server may get the request.
	Eligible Reason = "eligible"
	// IsLeaving means that the server announced the leaving state.
	IsLeaving Reason = "leaving"
	// IsSilent means that the server's last announcement is too old.
	IsSilent Reason = "silent"
	// IsEvacuated means that the server's availability zone is evacuated.
	IsEvacuated Reason = "evacuated"
	// HasMoved means that the server's address has changed since it was chosen.
	HasMoved Reason = "moved"
	// OtherKind means that the server is of another kind.
	OtherKind Reason = "other-kind"
	// ModelNotHeld means that the engine does not hold the model.
	ModelNotHeld Reason = "model-not-held"
	// VersionNotHeld means that the engine holds another weight version of the model.
	VersionNotHeld Reason = "version-not-held"
	// AdapterNotHeld means that the engine holds the version without the adapter.
	AdapterNotHeld Reason = "adapter-not-held"
	// ServiceNotRun means that the server does not run the service.
	ServiceNotRun Reason = "service-not-run"
)
