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
	c := evaluation{view: r.view(now, j)}
	c.request = j.request(&c.view)
	c.decision = r.Strategy.Decide(now, &c.request, &c.view.cell, r.Random)
	return c
}

// queuedWork returns the time that the work queued at the chosen server takes.
func (c *evaluation) queuedWork() time.Duration {
	e, _ := c.decision.Chosen()
	return seconds(e.Wait)
}

// compute returns the compute time of the request at the chosen server, in seconds.
func (c *evaluation) compute() float64 {
	e, _ := c.decision.Chosen()
	return e.Compute
}

func (c *evaluation) found() bool {
	return c.decision.Server != route.None
}

// mustQueue reports whether the chosen server has so much work that long requests wait in the queues of their
// entries; others says whether further requests are waiting.
func (c *evaluation) mustQueue(others bool) bool {
	return fairness.Hold(c.queuedWork(), others)
}

// admit returns the refusal of a request that is not admitted, for example because it would miss its deadline.
func (r *router) admit(j *job, c *evaluation, queueTime time.Duration) error {
	v := r.Admission.Decide(admission.Input{
		Server:   c.found(),
		TTFT:     c.decision.TTFT + queueTime,
		Deadline: j.Rules.Deadline,
		Waited:   r.Now().Sub(j.Received),
		Priority: j.Rules.Priority,
		Worth:    j.Rules.Worth,
		Compute:  seconds(c.compute()),
	}, r.Random)
	if v.Admit {
		return nil
	}
	r.logRefused(j, c.decision, v)
	return v.Err()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
