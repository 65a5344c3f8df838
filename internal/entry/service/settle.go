package service

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/ledger"
)

// dispatch sends the call; it retries only after failures that prove that the call did not run.
func (f *flow) dispatch(ctx context.Context) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, f.client.DispatchTimeout)
	defer cancel()
	var excluded []string
	content := f.request.fingerprint()
	for {
		if err := f.client.Guard.Check(f.client.Now(), content); err != nil {
			return Answer{}, asNotRun(err)
		}
		s, err := f.client.Picker.Pick(ctx, f.request, excluded)
		if err != nil {
			return Answer{}, asNotRun(err)
		}
		// An entry that was suspended after its claim may have been declared dead,
		// and an operator may have allowed the call to run elsewhere. A claim that
		// old is not dispatched any more.
		if f.client.Now().Sub(f.started) > f.client.DispatchWindow {
			return Answer{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "claim-too-old",
				"the call was not dispatched in time").WithRetryAfter(time.Second)
		}
		f.client.write(event.CallDispatched, f.request, log.Fields{"attempt": f.attempt, "server": s.Identity})
		sent := f.client.Now()
		a, err := f.client.guarded(ctx, s, f.request, content, func() (Answer, error) { return f.client.sendOnce(ctx, s, f.request, f.attempt) })
		f.client.recordBackoff(s, sent, err)
		if err == nil || verdict.Of(err) != verdict.NotRun {
			return a, err
		}
		excluded = append(excluded, s.Identity)
		if !f.client.mayTryAnother(f.request.Workspace, err, len(excluded)) {
			return Answer{}, err
		}
	}
}

// asNotRun returns a picker's error with the verdict not-run, because nothing was dispatched.
func asNotRun(err error) verdict.Error {
	if e, ok := verdict.As(err); ok {
		return e.WithVerdict(verdict.NotRun)
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-server", "no server runs the service").
		WithRetryAfter(time.Second).WithCause(err)
}

// fail records that the call did not run or that its outcome is unknown, and replies.
//
// The caller gets its verdict only after the log has recorded it, or after
// OutcomeWait: an immediate resend must not be refused as a call in progress.
func (f *flow) fail(ctx context.Context, cause error, replies chan<- reply) {
	command := ledger.Command{MarkUnknown: &ledger.MarkUnknown{Scope: f.scope, Attempt: f.attempt}}
	if verdict.Of(cause) == verdict.NotRun {
		command = ledger.Command{Release: &ledger.Release{Scope: f.scope, Attempt: f.attempt}}
	}
	f.client.write(event.CallFailed, f.request, log.Fields{
		"attempt": f.attempt, "verdict": verdict.Of(cause).String(), "cause": cause.Error(),
	})
	f.record(ctx, command, replies, reply{err: cause})
}

// complete records the outcome and replies.
func (f *flow) complete(ctx context.Context, a Answer, replies chan<- reply) {
	recorded := a.record()
	p := reply{answer: a}
	if len(recorded.Body) > ledger.MaxBody {
		recorded.Body, recorded.Dropped = nil, true
		p.answer, p.err = recordedAnswer(recorded)
	}
	command := ledger.Command{Outcome: &ledger.Outcome{
		Scope: f.scope, Attempt: f.attempt, Digest: f.digest, Answer: recorded,
	}}
	f.client.write(event.CallSettled, f.request, log.Fields{"attempt": f.attempt, "status": a.Status})
	f.record(ctx, command, replies, p)
}

// record commits the command and then replies. If the log doesn't answer within
// OutcomeWait, it replies first with the result known to this entry, and retries
// until the command is committed.
func (f *flow) record(ctx context.Context, command ledger.Command, replies chan<- reply, p reply) {
	short, cancel := context.WithTimeout(ctx, f.client.OutcomeWait)
	result, err := f.client.persist(short, command)
	cancel()
	// A claim that can't be released was revoked meanwhile, and the call may have
	// run under another claim; not-run would be true of this attempt only.
	if err == nil && command.Release != nil && result.Kind == ledger.Stale {
		p.err = outcomeUnknown()
	}
	if err == nil {
		// A caller that has its answer must not find its call open.
		f.settled()
	}
	replies <- p
	if err != nil {
		f.persistWithTimeout(ctx, command)
	}
}

// releaseLater releases the claim in the background, so that the caller need not wait for it.
func (f *flow) releaseLater(ctx context.Context) {
	settled := f.client.trackOpen()
	f.client.running.Go(func() {
		defer settled()
		f.persistWithTimeout(ctx, ledger.Command{Release: &ledger.Release{Scope: f.scope, Attempt: f.attempt}})
	})
}

func (f *flow) persistWithTimeout(ctx context.Context, command ledger.Command) {
	ctx, cancel := context.WithTimeout(ctx, f.client.DispatchTimeout)
	defer cancel()
	if _, err := f.client.persist(ctx, command); err != nil {
		f.client.write(event.CallUnrecorded, f.request, log.Fields{"attempt": f.attempt, "cause": err.Error()})
	}
}
