package control

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/replica"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/settings/lease"
)

const (
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// readTimeout bounds one attempt of a read with a small answer, and so the delay that a suspended replica causes.
	readTimeout = 700 * time.Millisecond
	// largeReadTimeout bounds one attempt of a read whose answer may be large, in addition to protocol.ReadIdleTimeout.
	largeReadTimeout = 20 * time.Second
	// proposeTimeout bounds one attempt of a proposal; after it the outcome of the commit is unknown.
	proposeTimeout = 2 * time.Second
	// roundBackoff is the delay after a call has failed at every replica.
	roundBackoff = 30 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// Node sends the RPCs.
	Node rpc.Node
	// Replicas are the addresses of the control replicas.
	Replicas []string
}

// Client proposes commands to the control log and reads from it, through any replica that answers.
type Client interface {
	// Propose commits a command to a section and returns its result. A failure is a verdict.Error.
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	// Read answers a query of one section from a state that is no older than the call.
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
	// ReadAll answers several queries from one state and, if r is not nil, renews the settings lease of the entry that sends r.
	ReadAll(ctx context.Context, r *protocol.Report, queries ...state.Query) (protocol.ReadResponse, error)
	// InForce returns whether a settings revision is in force everywhere.
	InForce(ctx context.Context, revision uint64) (lease.InForceStatus, error)
	// Holders returns the entries that hold a settings lease.
	Holders(ctx context.Context) ([]protocol.HolderRevision, error)
	// Statuses returns the status of each replica that answers, by the replica's address.
	Statuses(ctx context.Context) map[string]replica.Status
}

type client struct {
	config  Config
	current atomic.Uint64
}

// New returns a Client.
func New(c Config) Client {
	return &client{config: c}
}

// Propose implements Client.
//
// The next replica is tried only after a failure that proves that nothing was
// appended. Otherwise a command that is still in flight could be applied twice.
func (c *client) Propose(ctx context.Context, section string, body []byte) ([]byte, error) {
	p := protocol.Proposal{Section: section, Body: body}
	a, err := callReplicas(ctx, c, proposeTimeout, retryIfNotRun, func(ctx context.Context, address string) (protocol.Applied, error) {
		return rpc.Call(ctx, c.config.Node, address, protocol.Propose, p)
	})
	return a.Result, err
}

// Read implements Client.
func (c *client) Read(ctx context.Context, section string, body []byte) ([]byte, error) {
	a, err := c.ReadAll(ctx, nil, state.Query{Section: section, Body: body})
	if err != nil {
		return nil, err
	}
	return a.Bodies[0], nil
}

// ReadAll implements Client.
func (c *client) ReadAll(ctx context.Context, r *protocol.Report, queries ...state.Query) (protocol.ReadResponse, error) {
	q := protocol.ReadRequest{Queries: queries, Report: r}
	a, err := callReplicas(ctx, c, largeReadTimeout, retryAlways, func(ctx context.Context, address string) (protocol.ReadResponse, error) {
		return rpc.Call(ctx, c.config.Node, address, protocol.Read, q)
	})
	if err == nil && len(a.Bodies) != len(queries) {
		err = verdict.New(verdict.Ran, http.StatusBadGateway, "malformed-answer", "the control log answered %d of %d queries", len(a.Bodies), len(queries))
	}
	return a, err
}

// InForce implements Client.
func (c *client) InForce(ctx context.Context, revision uint64) (lease.InForceStatus, error) {
	return callReplicas(ctx, c, readTimeout, retryAlways, func(ctx context.Context, address string) (lease.InForceStatus, error) {
		return rpc.Call(ctx, c.config.Node, address, protocol.InForce, protocol.InForceQuery{Revision: revision})
	})
}

// Holders implements Client.
func (c *client) Holders(ctx context.Context) ([]protocol.HolderRevision, error) {
	l, err := callReplicas(ctx, c, readTimeout, retryAlways, func(ctx context.Context, address string) (protocol.HolderList, error) {
		return rpc.Call(ctx, c.config.Node, address, protocol.Holders, protocol.Empty{})
	})
	return l.Holders, err
}

// Statuses implements Client.
func (c *client) Statuses(ctx context.Context) map[string]replica.Status {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	all := make(map[string]replica.Status)
	for _, a := range c.config.Replicas {
		calls.Go(func() {
			s, err := rpc.Call(ctx, c.config.Node, a, protocol.Status, protocol.Empty{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all[a] = s
		})
	}
	calls.Wait()
	return all
}

func retryIfNotRun(err error) bool { return verdict.Of(err) == verdict.NotRun }

func retryAlways(error) bool { return true }

// callReplicas calls one replica after the other until one answers, a failure is not retryable, or ctx ends.
func callReplicas[R any](ctx context.Context, c *client, timeout time.Duration, retryable func(error) bool, call func(context.Context, string) (R, error)) (R, error) {
	var zero R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	n := uint64(len(c.config.Replicas))
	if n == 0 {
		return zero, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-control", "no control replica is configured")
	}
	for attempts := uint64(1); ; attempts++ {
		current := c.current.Load()
		r, err := callWithTimeout(ctx, timeout, c.config.Replicas[current%n], call)
		if err == nil {
			return r, nil
		}
		if !retryable(err) || ctx.Err() != nil {
			return zero, err
		}
		c.current.CompareAndSwap(current, current+1)
		if attempts%n != 0 {
			continue
		}
		if !wait.For(ctx, roundBackoff) {
			return zero, err
		}
	}
}

func callWithTimeout[R any](ctx context.Context, timeout time.Duration, address string, call func(context.Context, string) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, address)
}
