package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/choose"
	"hornbeamwood/internal/serve/limit"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/quarantine"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/serve/retry"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/serve/waitqueue"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/origin"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/salt"
)

// Codec translates between headers and types.
type Codec interface {
	// Decode returns the caller's request without its body; Header holds what may be forwarded.
	Decode(q *http.Request) (request.Request, error)
	// Encode adds the headers that the system sends to a server.
	Encode(h http.Header, d request.Dispatch)
	// Answer parses a server's response headers.
	Answer(h http.Header) request.Answer
	// ProbePath returns the path of a GET request that each server of the service answers without work for a caller, empty if
	// there is none.
	ProbePath(s document.Service) string
}

// Site is the entry's view of the site.
type Site interface {
	// Table returns the document in force, nil if there is none.
	Table() document.Table
	// Salt returns the salt of a workspace's requests by the newest document that the entry knows.
	Salt(model string, version int64, workspace string) salt.Salt
	// AwaitDocument returns once there is a document, or ctx ends.
	AwaitDocument(ctx context.Context)
	// AwaitFreshState returns at once, except in a process that was suspended and has just
	// resumed: there it waits for updates, or for a short timeout.
	AwaitFreshState(ctx context.Context)
	// AwaitServers returns once known returns true, or ctx ends. It returns at once if the process
	// has run for a while.
	AwaitServers(ctx context.Context, known func() bool)
	// AwaitStores returns once the stores' inventories are known, or ctx ends. It returns at once
	// if the process has run for a while.
	AwaitStores(ctx context.Context)
	// Servers returns the ready servers of a service.
	Servers(service string) []directory.Server
	// OnlySoftware returns the version of the software of all servers that the service has had for some
	// minutes. It returns false if they differ, or if the entry may not know of some.
	OnlySoftware(service string) (string, bool)
	// SoftwareRecorded returns whether the version of the server's software is recorded in the control log, or
	// isn't because too many of its service are.
	SoftwareRecorded(s directory.Server) bool
	// AwaitSoftware returns once known returns true, or ctx ends. It returns at once unless a server of the service
	// is new whose software should be recorded soon.
	AwaitSoftware(ctx context.Context, service string, known func() bool)
	// SoftwareCertain returns whether a stream that began at that time ran on the incarnation that the
	// origin names, and not on a later one with other software.
	SoftwareCertain(o origin.Origin, began time.Time) bool
	// RestartExpected returns whether the server may have restarted with other software since its
	// incarnation was learned of, because it refused a connection at that time.
	RestartExpected(s directory.Server, refusedAt time.Time) bool
	// Withdrawn returns whether all ready servers of a service are in evacuated zones.
	Withdrawn(service string) bool
	// Cold returns whether the server may be cold. Servers of its service stay cold for coldTime.
	Cold(s directory.Server, coldTime time.Duration, now time.Time) bool
	// Server returns the newest incarnation of id while it is ready outside evacuated zones.
	Server(id string) (directory.Server, bool)
	// ReportPrefill reports to the other entries that the engine prefills a part that was
	// available nowhere else.
	ReportPrefill(salt, part string, tokens int, server string)
	// Version returns the version of the model that the server has, zero if unknown.
	Version(s directory.Server, model string) int64
	// ObserveLeaving records that an incarnation of a server states that it leaves. It is not among
	// the ready servers any more.
	ObserveLeaving(server string, startedAt int64)
	// ObserveVersion records the version stated in a server's response.
	ObserveVersion(server, model string, version int64)
	// TargetVersion returns the target version of the model's weights, zero for none.
	TargetVersion(model string) int64
	// VersionExpired returns whether the model's target version was set so long ago that no
	// request may be sent to older weights.
	VersionExpired(model string) bool
	// Busy returns whether the server carries out an order that prevents it from serving the
	// model.
	Busy(server string) bool
	// Copies returns the stores that hold the complete part of that size.
	Copies(salt, part string, tokens int) []choose.Copy
	// SaveTarget returns the store that should save the part, empty for none.
	SaveTarget(salt, part string, tokens int) string
	// StoreState returns the age of the store inventories that Copies uses and the fencing number of the lease under
	// which they were listed, zero if there are none.
	StoreState() (age time.Duration, fencing uint64)
	// FetchDeadline returns the deadline, on the servers' clock, of a fetch that starts now, zero if
	// it cannot be determined.
	FetchDeadline() int64
	// Entries returns how many entries share the servers.
	Entries() int
}

// Config is the configuration of the handler.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// Codec translates headers.
	Codec Codec
	// Site is the entry's view of the site.
	Site Site
	// Client sends requests to servers.
	Client backend.Client
	// Tracker tracks attempts.
	Tracker observe.Tracker
	// Residency estimates which parts engines hold.
	Residency parts.Residency
	// PeerLoads is the load of the other entries at each engine.
	PeerLoads share.PeerLoads
	// Queue holds the requests that wait for capacity.
	Queue waitqueue.Queue
	// Budget grants retries.
	Budget retry.Budget
	// Limits are the limits that servers announce, and those of cold servers.
	Limits limit.Limits
	// Backoffs are the servers that requested a backoff of this entry.
	Backoffs backoff.Backoffs
	// Origins records how streams begin.
	Origins origin.Origins
	// Guard keeps requests that crash servers from being sent.
	Guard quarantine.Guard
	// ColdFactor and ColdSlack bound the requests that a cold server may get in any second:
	// ColdFactor times its rate, and ColdSlack more. Zero for no bound.
	ColdFactor, ColdSlack float64
	// Closing returns whether connections are closed after their response, because the process is about to end or
	// overloaded.
	Closing func() bool
	// Ending ends when the process is so close to its end that it can wait for servers no longer; nil for never.
	Ending context.Context
	// Refusing returns whether the process is so close to its end that a request that takes so long cannot be
	// served.
	Refusing func(expected time.Duration) bool
	// Isolated returns whether the entry reaches no server on any path.
	Isolated func() bool
	// Trial returns whether a request is tried although the entry is isolated.
	Trial func() bool
	// ReportBackoff tells the entry at via that the server requested a backoff in response to a request
	// through it.
	ReportBackoff func(via, server string, d time.Duration)
	// Metrics receives the counters.
	Metrics *metrics.Set
	// Logger receives the log events.
	Logger log.Interface
}
