package settings

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/settings/rules"
	"hornbeamwood/internal/settings/section"
)

const (
	// firstLease is assumed of the lease until the settings tell.
	firstLease = 4 * time.Second
	// transferTimeout bounds a report by an entry without a lease, whose answer may be the whole tree.
	transferTimeout = 20 * time.Second
	// forcePause is waited between two questions whether a revision is in force.
	forcePause = 100 * time.Millisecond
)

// Keeper is an entry's settings with their lease.
type Keeper interface {
	// Current returns the settings that new work runs under; a verdict.Error when their lease ran out.
	Current() (*rules.Snapshot, error)
	// Check returns a verdict.Error when the lease ran out.
	Check() error
	// View returns the newest copy, in force or not.
	View() follower.View
	// Wait returns nil once the revision is in force at every entry, or the error of ctx.
	Wait(ctx context.Context, revision uint64) error
	// Release hands the lease back; the entry takes no new work any more.
	Release(ctx context.Context) error
	// Close ends the goroutine that renews.
	Close()
}

type keeper struct {
	Config
	lease   lease.Keeper
	cancel  context.CancelFunc
	running sync.WaitGroup
	held    bool
}

// NewKeeper returns a Keeper that renews its lease until Close.
func NewKeeper(c Config) Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &keeper{Config: c, lease: lease.NewKeeper(), cancel: cancel}
	k.running.Go(func() { k.loop(ctx) })
	return k
}

// Current implements Keeper.
//
// The copy is read before the lease is checked. In the other order a newer
// copy could come in between that the checked lease says nothing of.
func (k *keeper) Current() (*rules.Snapshot, error) {
	s := k.Follower.View().Rules
	return s, k.lease.Check(k.Now(), s.Fleet.ServeWithoutQuorum)
}

// Check implements Keeper.
func (k *keeper) Check() error {
	_, err := k.Current()
	return err
}

// View implements Keeper.
func (k *keeper) View() follower.View {
	return k.Follower.View()
}

// Close implements Keeper.
func (k *keeper) Close() {
	k.cancel()
	k.running.Wait()
}

// Wait implements Keeper.
func (k *keeper) Wait(ctx context.Context, revision uint64) error {
	for {
		f, err := k.Log.InForce(ctx, revision)
		if err == nil && f.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %v: %w", f.Waiting, ctx.Err())
		case <-time.After(forcePause):
		}
	}
}

// Release implements Keeper.
func (k *keeper) Release(ctx context.Context) error {
	k.Close()
	_, err := k.Log.ReadAll(ctx, &protocol.Report{Holder: k.Holder, Released: true})
	return err
}

func (k *keeper) loop(ctx context.Context) {
	for ctx.Err() == nil {
		behind := k.renew(ctx)
		k.logChange()
		if behind {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(k.interval()):
		}
	}
}

// interval returns the time between reports; several of them fit into a lease, so that a lost answer costs nothing.
func (k *keeper) interval() time.Duration {
	return k.ownLease(k.Follower.View()) / lease.ReportsPerLease
}

// patience returns how long a report may take. Who has no lease has none to lose by
// waiting for an answer that is still coming.
func (k *keeper) patience() time.Duration {
	if k.Check() != nil {
		return transferTimeout
	}
	return k.interval()
}

// renew reports once and returns whether the next report must not wait: there was
// something newer to apply, or the answer took so long that its lease is nearly over.
func (k *keeper) renew(ctx context.Context) bool {
	applied := k.Follower.View()
	queries, err := k.queries(applied.Revision())
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, k.patience())
	defer cancel()
	own := k.ownLease(applied)
	sent := k.Now()
	a, err := k.Log.ReadAll(ctx, &protocol.Report{Holder: k.Holder, Applied: applied.Revision(), Lease: own}, queries...)
	if err != nil {
		return false
	}
	newest, err := k.take(a.Bodies)
	if err != nil {
		event.SettingsNotApplied.Write(k.Logger, log.Fields{"error": err.Error()})
		return false
	}
	k.lease.Confirm(lease.Proof{SentAt: sent, Applied: applied.Revision(), Confirmed: newest, Lease: own})
	return newest > applied.Revision() || k.Now().Sub(sent) > k.interval()
}

// ownLease returns the settings lease at the revision of v.
func (k *keeper) ownLease(v follower.View) time.Duration {
	if l := v.Rules.Fleet.SettingsLease; l > 0 {
		return l
	}
	return firstLease
}

func (k *keeper) queries(known uint64) ([]state.Query, error) {
	b, err := codec.Marshal(section.Query{Kind: section.QueryChanges, Known: known})
	if err != nil {
		return nil, err
	}
	all := []state.Query{{Section: section.Name, Body: b}}
	for _, f := range k.Feeds {
		q, err := f.Query()
		if err != nil {
			return nil, err
		}
		all = append(all, q)
	}
	return all, nil
}

// take applies the answers and returns the newest settings revision.
func (k *keeper) take(bodies [][]byte) (uint64, error) {
	c, err := codec.Unmarshal[section.Changes](bodies[0])
	if err != nil {
		return 0, err
	}
	before := k.Follower.View().Revision()
	v, err := k.Follower.Apply(c)
	if err != nil {
		return 0, err
	}
	if v.Revision() != before {
		event.SettingsApplied.Write(k.Logger, log.Fields{"revision": v.Revision(), "from": before})
	}
	for i, f := range k.Feeds {
		if err := f.Take(bodies[i+1]); err != nil {
			return 0, err
		}
	}
	return c.Revision, nil
}

// logChange writes a line when the lease was gained or lost.
func (k *keeper) logChange() {
	err := k.Check()
	if (err == nil) == k.held {
		return
	}
	k.held = err == nil
	f := log.Fields{"revision": k.Follower.View().Revision()}
	if k.held {
		event.LeaseRegained.Write(k.Logger, f)
		return
	}
	event.LeaseLost.Write(k.Logger, f)
}
