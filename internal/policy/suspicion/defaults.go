package suspicion

import "time"

const (
	// DefaultServers is the default number of distinct lost servers that quarantines a request.
	DefaultServers = 2
	// DefaultPartServers is the default number of distinct lost servers that quarantines a part. Many requests
	// share a part, so that it is under a loss by chance more often.
	DefaultPartServers = 3
	// repeatedLosses is the number of losses that quarantines a part, of whichever servers.
	repeatedLosses = 5
	// DefaultWindow is the default time window in which losses are counted.
	DefaultWindow = 10 * time.Minute
)
