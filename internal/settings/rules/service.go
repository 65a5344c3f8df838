package rules

// Service is a service other than the engines.
type Service struct {
	// Name is the path element after /services/ in callers' requests.
	Name string `cbor:"name"`
}
