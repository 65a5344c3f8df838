package service

import (
	"context"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/suspicion"
)

const (
	// confirmAfter is how long after its connection broke a server is asked for another one. A
	// process that ends closes its connections and its listener one after the other.
	confirmAfter = 60 * time.Millisecond
	// confirmTimeout bounds the set-up of that connection.
	confirmTimeout = 250 * time.Millisecond
)

// Ending is how a call ended at a server.
type Ending int

const (
	// Unanswered means that the server lives on and hasn't answered the call.
	Unanswered Ending = iota
	// Answered means that the server has answered the call.
	Answered
	// Lost means that the server was lost with the call.
	Lost
)

// Guard refuses calls that crash the servers that run them.
type Guard interface {
	// RecordOwner records the workspace and service of a fingerprint for the list that operators see.
	RecordOwner(f suspicion.Fingerprint, workspace, service string)
	// Check returns nil when the call may run and otherwise its final refusal.
	Check(now time.Time, f suspicion.Fingerprint) error
	// Started records that a server runs the call.
	Started(now time.Time, f suspicion.Fingerprint, server string)
	// Ended records how the call has ended at a server.
	Ended(ctx context.Context, now time.Time, f suspicion.Fingerprint, server string, e Ending)
}

// noGuard is a Guard that refuses nothing.
type noGuard struct{}

func (noGuard) RecordOwner(suspicion.Fingerprint, string, string) {}

func (noGuard) Check(time.Time, suspicion.Fingerprint) error { return nil }

func (noGuard) Started(time.Time, suspicion.Fingerprint, string) {}

func (noGuard) Ended(context.Context, time.Time, suspicion.Fingerprint, string, Ending) {}

// fingerprint returns the fingerprint of r, which is the same under any Idempotency-Key.
func (r Request) fingerprint() suspicion.Fingerprint {
	return suspicion.FingerprintOf(r.Workspace, r.Service+" "+r.Method+" "+r.Path, r.Body)
}

// guarded sends a call and records how it ended.
func (c *client) guarded(ctx context.Context, s Server, r Request, f suspicion.Fingerprint, send func() (Answer, error)) (Answer, error) {
	c.Guard.Started(c.Now(), f, s.Identity)
	a, err := send()
	e := c.ending(ctx, s, err)
	if e == Lost || unreachableServer(err) {
		c.Outages.Add(c.Now(), s.Identity)
	}
	if e == Lost {
		c.Guard.RecordOwner(f, r.Workspace, r.Service)
	}
	c.Guard.Ended(context.WithoutCancel(ctx), c.Now(), f, s.Identity, e)
	return a, err
}

// ending returns how a call ended that returned err.
func (c *client) ending(ctx context.Context, s Server, err error) Ending {
	switch {
	case err == nil:
		return Answered
	case c.serverLost(ctx, s, err):
		return Lost
	default:
		return Unanswered
	}
}

// unreachableServer reports whether no connection to the server could be made.
func unreachableServer(err error) bool {
	e, ok := verdict.As(err)
	return ok && e.Code == codeUnreachable
}

// serverLost reports whether a call ended as it does when its server is lost: the connection broke,
// and the server accepts no other one. Faulty servers break off single responses; counted as lost,
// they would put a harmless call into quarantine.
func (c *client) serverLost(ctx context.Context, s Server, err error) bool {
	if e, ok := verdict.As(err); !ok || e.Code != codeLost || ctx.Err() != nil {
		return false
	}
	if c.Wait(ctx, confirmAfter) != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, min(confirmTimeout, c.DialTimeout))
	defer cancel()
	conn, err := c.Dial(ctx, s.Address)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
