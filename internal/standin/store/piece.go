package store

// piece is one sealed object; its bytes are immutable.
type piece struct {
	data       []byte
	digest     string
	generation uint64
	tier       string
}

// listingEntry is one entry of a listing.
type listingEntry struct {
	Key        string `json:"key"`
	Generation uint64 `json:"generation"`
	Bytes      int    `json:"bytes"`
	Tier       string `json:"tier"`
}

type listing struct {
	Pieces []listingEntry `json:"pieces"`
	Next   string         `json:"next,omitempty"`
}

type tierUsage struct {
	Bytes     int64 `json:"bytes"`
	FreeBytes int64 `json:"free-bytes"`
}

type usage struct {
	Incarnation int64     `json:"incarnation"`
	Memory      tierUsage `json:"memory"`
	Disk        tierUsage `json:"disk"`
	LinkRate    float64   `json:"link-rate"`
	LinkQueued  int64     `json:"link-queued"`
}
