package renewal

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/lease"
)

// retryPause is waited after a renewal that failed or brought a newer revision.
const retryPause = 50 * time.Millisecond

// Renewer renews an entry's settings lease in the background.
type Renewer interface {
	// Release ends the renewals and gives the lease back; the entry takes no new work when it is called.
	Release(ctx context.Context) error
}

type renewer struct {
	Config
	stop context.CancelFunc
	done sync.WaitGroup
	held bool
}

// New returns a Renewer that has begun.
func New(c Config) Renewer {
	r := newRenewer(c)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.done.Go(func() {
		for wait(ctx, r.round(ctx)) {
			continue
		}
	})
	return r
}

func newRenewer(c Config) *renewer {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &renewer{Config: c}
}

// wait returns false when ctx ends before d has passed.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Release implements Renewer.
func (r *renewer) Release(ctx context.Context) error {
	r.stop()
	r.done.Wait()
	v := r.Follower.View()
	_, err := r.Log.Renew(ctx, lease.Renewal{Holder: r.Holder, Applied: v.Revision(), Released: true}, v.Revision())
	return err
}

// round makes one renewal and returns how long to wait before the next.
//
// The clock is read before the request leaves: an answer that took seconds
// proves what was true when it was asked for, not when it came.
func (r *renewer) round(ctx context.Context) time.Duration {
	v := r.Follower.View()
	length := v.Rules.Fleet.SettingsLease
	sent := r.Now()
	ctx, cancel := context.WithTimeout(ctx, length/2)
	defer cancel()
	c, err := r.Log.Renew(ctx, lease.Renewal{Holder: r.Holder, Applied: v.Revision(), Lease: length}, v.Revision())
	pause := retryPause
	if err == nil {
		r.Keeper.Confirm(lease.Proof{SentAt: sent, Applied: v.Revision(), Confirmed: c.Revision, Lease: length})
		if c.Revision <= v.Revision() {
			pause = length / lease.ReportsPerLease
		} else if next, failed := r.Follower.Apply(c); failed == nil {
			r.applied(next)
		}
	}
	r.note(err)
	return pause
}

func (r *renewer) applied(v follower.View) {
	event.SettingsApplied.Write(r.Logger, log.Fields{"revision": v.Revision()})
	if r.Applied != nil {
		r.Applied(v)
	}
}

// note writes an event when the lease is lost or comes back.
func (r *renewer) note(cause error) {
	v := r.Follower.View()
	held := r.Keeper.Check(r.Now(), v.Rules.Fleet.ServeWithoutQuorum) == nil
	if held == r.held {
		return
	}
	r.held = held
	if held {
		event.LeaseRegained.Write(r.Logger, log.Fields{"revision": v.Revision()})
		return
	}
	fields := log.Fields{"revision": v.Revision()}
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	event.LeaseLost.Write(r.Logger, fields)
}
