package completion

import (
	"time"

	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/fairness"
	"hornbeamwood/internal/policy/route"
)

// evaluation is one routing decision with its inputs.
type evaluation struct {
	view     view
	request  route.Request
	decision route.Decision
}

// evaluate makes a routing decision for the job from the current view.
func (r *router) evaluate(j *job) evaluation {
	now := r.Now()
	ev := evaluation{view: r.view(now, j)}
	ev.request = j.request(&ev.view)
	ev.decision = r.Strategy.Decide(now, &ev.request, &ev.view.cell, r.Random)
	return ev
}

// queuedWork returns the time that the work queued at the chosen server takes.
func (ev *evaluation) queuedWork() time.Duration {
	e, _ := ev.decision.Chosen()
	return seconds(e.Wait)
}

// compute returns the compute time of the request at the chosen server, in seconds.
func (ev *evaluation) compute() float64 {
	e, _ := ev.decision.Chosen()
	return e.Compute
}

func (ev *evaluation) found() bool {
	return ev.decision.Server != route.None
}

// mustQueue reports whether the request must wait in the queue of this entry, because the chosen
// server has too much work or because others, requests of the same queue, are already waiting.
func (ev *evaluation) mustQueue(others bool) bool {
	return fairness.MustWait(ev.queuedWork(), others)
}

// admit returns the refusal of a request that is not admitted, for example because it would miss its deadline.
func (r *router) admit(j *job, ev *evaluation, queueTime time.Duration) error {
	v := r.Admission.Decide(admission.Input{
		Server:   ev.found(),
		TTFT:     ev.decision.TTFT + queueTime,
		Deadline: j.Rules.Deadline,
		Waited:   r.Now().Sub(j.Received),
		Priority: j.Rules.Priority,
		Worth:    j.Rules.Worth,
		Compute:  seconds(ev.compute()),
	}, r.Random)
	if v.Admit {
		return nil
	}
	if !ev.found() {
		v.RetryAfter = max(v.RetryAfter, ev.view.backoff)
	}
	r.logRefused(j, ev.decision, v)
	return v.Err()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
