package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/choose"
	"hornbeamwood/internal/serve/limit"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/serve/retry"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/serve/waitqueue"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
)

// Codec translates between headers and types.
type Codec interface {
	// Decode returns the caller's request without its body; Header holds what may be passed on.
	Decode(q *http.Request) (request.Request, error)
	// Encode adds what the system tells a server.
	Encode(h http.Header, d request.Dispatch)
	// Answer returns what a server's headers say.
	Answer(h http.Header) request.Answer
}

// Site is what the entry knows of the site.
type Site interface {
	// Table returns the document in force, nil while there is none.
	Table() document.Table
	// AwaitDocument returns once there is a document, or ctx ends.
	AwaitDocument(ctx context.Context)
	// AwaitFreshState returns at once, but in a process that has just stood still once it has heard news, or a moment later.
	AwaitFreshState(ctx context.Context)
	// AwaitServers returns once a server of the service is known, or ctx ends; at once when the process has run for a while.
	AwaitServers(ctx context.Context, service string)
	// AwaitStores returns once it is known what lies in the stores, or ctx ends; at once when the process has run for a while.
	AwaitStores(ctx context.Context)
	// Servers returns the ready servers of a service.
	Servers(service string) []directory.Server
	// Server returns the newest incarnation of id while it is ready.
	Server(id string) (directory.Server, bool)
	// ReportPrefill tells the other entries that the engine reads a part that was nowhere else.
	ReportPrefill(salt, part string, tokens int, server string)
	// Version returns the version of the model that the server has, zero when it isn't known.
	Version(s directory.Server, model string) int64
	// ObserveVersion tells the version that a server's answer showed.
	ObserveVersion(server, model string, version int64)
	// TargetVersion returns the version that was named for the model, zero for none.
	TargetVersion(model string) int64
	// VersionExpired returns whether new weights of the model were named so long ago that no request may be sent to older ones.
	VersionExpired(model string) bool
	// Busy returns whether the server carries out an order that keeps it from taking requests for the model.
	Busy(server string) bool
	// Copies returns the stores that have the part of that size whole.
	Copies(salt, part string, tokens int) []choose.Copy
	// SaveTarget returns the store that shall have the part, empty for none.
	SaveTarget(salt, part string, tokens int) string
	// StoreStateAge returns how old the word is by which Copies goes, negative when there is none.
	StoreStateAge() time.Duration
	// FetchUntil returns the servers' clock time until which a fetch that begins now may last, zero when it can't be told.
	FetchUntil() int64
	// Entries returns how many entries share the servers.
	Entries() int
}

// Config is what a Gateway needs.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// Codec translates headers.
	Codec Codec
	// Site is what the entry knows.
	Site Site
	// Client sends requests to servers.
	Client backend.Client
	// Tracker follows attempts.
	Tracker observe.Tracker
	// Residency guesses what engines hold.
	Residency parts.Residency
	// PeerLoads is what the other entries have at each engine.
	PeerLoads share.PeerLoads
	// Queue holds the requests that wait for room.
	Queue waitqueue.Queue
	// Budget grants repeats.
	Budget retry.Budget
	// Limits are those that servers name.
	Limits limit.Limits
	// Stopping returns whether the process is about to end, so that connections are to be closed after their answer.
	Stopping func() bool
	// Refusing returns whether the process is so near its end that a new request can't be served.
	Refusing func() bool
	// Metrics takes the counters.
	Metrics *metrics.Set
	// Logger takes the events.
	Logger log.Interface
}
