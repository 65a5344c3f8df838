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
	// initialLease is the lease duration until the settings specify one.
	initialLease = 4 * time.Second
	// transferTimeout bounds a report by an entry without a lease; the answer may be the whole tree.
	transferTimeout = 20 * time.Second
	// inForcePollInterval is the time between two queries for whether a revision is in force.
	inForcePollInterval = 100 * time.Millisecond
)

// LeasedSettings holds an entry's settings and renews their lease.
type LeasedSettings interface {
	// Current returns the settings for new work, or a verdict.Error when their lease has expired.
	Current() (*rules.Snapshot, error)
	// Check returns a verdict.Error when the lease has expired.
	Check() error
	// View returns the newest copy, whether or not it is in force.
	View() follower.View
	// Wait returns nil once the revision is in force at every entry, or the error of ctx.
	Wait(ctx context.Context, revision uint64) error
	// Release releases the lease; the entry accepts no new work afterwards.
	Release(ctx context.Context) error
	// Close stops the goroutine that renews the lease.
	Close()
}

type leasedSettings struct {
	Config
	lease     lease.EntryLease
	cancel    context.CancelFunc
	running   sync.WaitGroup
	leaseHeld bool
}

// NewLeasedSettings returns a LeasedSettings that renews its lease until it is closed.
func NewLeasedSettings(c Config) LeasedSettings {
	ctx, cancel := context.WithCancel(context.Background())
	s := &leasedSettings{Config: c, lease: lease.NewEntryLease(), cancel: cancel}
	s.running.Go(func() { s.run(ctx) })
	return s
}

// Current implements LeasedSettings.
//
// The copy is read before the lease is checked. In the other order a newer copy
// could be applied in between, and the checked lease would not cover it.
func (s *leasedSettings) Current() (*rules.Snapshot, error) {
	snapshot := s.Follower.View().Rules
	return snapshot, s.lease.Check(s.Now(), snapshot.Fleet.ServeWithoutQuorum)
}

// Check implements LeasedSettings.
func (s *leasedSettings) Check() error {
	_, err := s.Current()
	return err
}

// View implements LeasedSettings.
func (s *leasedSettings) View() follower.View {
	return s.Follower.View()
}

// Close implements LeasedSettings.
func (s *leasedSettings) Close() {
	s.cancel()
	s.running.Wait()
}

// Wait implements LeasedSettings.
func (s *leasedSettings) Wait(ctx context.Context, revision uint64) error {
	for {
		f, err := s.Log.InForce(ctx, revision)
		if err == nil && f.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %v: %w", f.Waiting, ctx.Err())
		case <-time.After(inForcePollInterval):
		}
	}
}

// Release implements LeasedSettings.
func (s *leasedSettings) Release(ctx context.Context) error {
	s.Close()
	_, err := s.Log.ReadAll(ctx, &protocol.Report{Holder: s.Holder, Released: true})
	return err
}

func (s *leasedSettings) run(ctx context.Context) {
	for ctx.Err() == nil {
		behind := s.renew(ctx)
		s.logLeaseChange()
		if behind {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.interval()):
		}
	}
}

// interval returns the time between reports. Several reports fit into a lease, so that one lost answer does not end the lease.
func (s *leasedSettings) interval() time.Duration {
	return s.leaseDuration(s.Follower.View()) / lease.ReportsPerLease
}

// reportTimeout returns the timeout of a report. An entry without a lease can wait longer for
// a slow answer, because it has no lease to lose.
func (s *leasedSettings) reportTimeout() time.Duration {
	if s.Check() != nil {
		return transferTimeout
	}
	return s.interval()
}

// renew sends one report and returns whether the next report is due immediately: a
// newer revision was applied, or the answer took so long that its lease is about to expire.
func (s *leasedSettings) renew(ctx context.Context) bool {
	applied := s.Follower.View()
	queries, err := s.queries(applied.Revision())
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.reportTimeout())
	defer cancel()
	own := s.leaseDuration(applied)
	sent := s.Now()
	a, err := s.Log.ReadAll(ctx, &protocol.Report{Holder: s.Holder, Applied: applied.Revision(), Lease: own}, queries...)
	if err != nil {
		return false
	}
	newest, err := s.applyAnswers(a.Bodies)
	if err != nil {
		event.SettingsNotApplied.Write(s.Logger, log.Fields{"error": err.Error()})
		return false
	}
	s.lease.Confirm(lease.Proof{SentAt: sent, Applied: applied.Revision(), Confirmed: newest, Lease: own})
	return newest > applied.Revision() || s.Now().Sub(sent) > s.interval()
}

// leaseDuration returns the duration of the settings lease at the revision of v.
func (s *leasedSettings) leaseDuration(v follower.View) time.Duration {
	if l := v.Rules.Fleet.SettingsLease; l > 0 {
		return l
	}
	return initialLease
}

func (s *leasedSettings) queries(known uint64) ([]state.Query, error) {
	b, err := codec.Marshal(section.Query{Kind: section.QueryChanges, Known: known})
	if err != nil {
		return nil, err
	}
	all := []state.Query{{Section: section.Name, Body: b}}
	for _, f := range s.Feeds {
		q, err := f.Query()
		if err != nil {
			return nil, err
		}
		all = append(all, q)
	}
	return all, nil
}

// applyAnswers applies the answers to the settings and feeds, and returns the newest settings revision.
func (s *leasedSettings) applyAnswers(bodies [][]byte) (uint64, error) {
	c, err := codec.Unmarshal[section.Changes](bodies[0])
	if err != nil {
		return 0, err
	}
	before := s.Follower.View().Revision()
	v, err := s.Follower.Apply(c)
	if err != nil {
		return 0, err
	}
	if v.Revision() != before {
		event.SettingsApplied.Write(s.Logger, log.Fields{"revision": v.Revision(), "from": before})
	}
	for i, f := range s.Feeds {
		if err := f.Apply(bodies[i+1]); err != nil {
			return 0, err
		}
	}
	return c.Revision, nil
}

// logLeaseChange logs when the lease has been gained or lost.
func (s *leasedSettings) logLeaseChange() {
	err := s.Check()
	if (err == nil) == s.leaseHeld {
		return
	}
	s.leaseHeld = err == nil
	f := log.Fields{"revision": s.Follower.View().Revision()}
	if s.leaseHeld {
		event.LeaseRegained.Write(s.Logger, f)
		return
	}
	event.LeaseLost.Write(s.Logger, f)
}
