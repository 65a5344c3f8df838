package suspicion

import "time"

const (
	// DefaultServers is the default number of distinct lost servers that quarantines a request.
	DefaultServers = 2
	// DefaultWindow is the default time window in which losses are counted.
	DefaultWindow = 10 * time.Minute
)
