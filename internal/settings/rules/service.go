package rules

// Service is one plain service beside the engines.
type Service struct {
	// Name is what callers put into the path after /services/.
	Name string `cbor:"name"`
}
