package completion

import (
	"time"

	"hornbeamwood/internal/policy/admission"
	"hornbeamwood/internal/policy/fairness"
	"hornbeamwood/internal/policy/route"
)

// consideration is one routing decision with what it saw.
type consideration struct {
	view     view
	request  route.Request
	decision route.Decision
}

// consider decides for a job as things stand now.
func (r *router) consider(j *job) consideration {
	now := r.Now()
	c := consideration{view: r.view(now, j)}
	c.request = j.request(&c.view)
	c.decision = r.Strategy.Decide(now, &c.request, &c.view.cell, r.Random)
	return c
}

// ahead returns the work ahead of the request at the chosen server.
func (c *consideration) ahead() time.Duration {
	e, _ := c.decision.Chosen()
	return seconds(e.Wait)
}

// compute returns how long the chosen server would compute, in seconds.
func (c *consideration) compute() float64 {
	e, _ := c.decision.Chosen()
	return e.Compute
}

func (c *consideration) found() bool {
	return c.decision.Server != route.None
}

// hold says whether the chosen server has so much work that long requests wait at their entries for their turn.
func (c *consideration) hold(others bool) bool {
	return fairness.Hold(c.ahead(), others)
}

// admit returns the refusal of a request that would not make its deadline.
func (r *router) admit(j *job, c *consideration, queueing time.Duration) error {
	v := r.Admission.Decide(admission.Input{
		Server:   c.found(),
		TTFT:     c.decision.TTFT + queueing,
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
