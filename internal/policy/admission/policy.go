package admission

import (
	"math/rand/v2"
	"time"
)

// Policy decides on the admission of requests.
type Policy interface {
	// Decide returns whether the request is admitted; random spreads the RetryAfter of refused
	// callers.
	Decide(in Input, random *rand.Rand) Decision
	// Observe records the actual time to first token of a request whose expected time was expected.
	// If the caller disconnected before, actual is the time until it did.
	Observe(priority int, expected, actual time.Duration)
	// Refuse returns the refusal for reason to a caller that should resend its request after about
	// wait.
	Refuse(reason Reason, wait time.Duration, random *rand.Rand) Decision
}

type policy struct {
	config      Config
	calibration *calibration
	valuation   *valuation
}

// New returns the policy that admits requests that are expected to meet their deadlines.
func New(c Config) Policy {
	return policy{config: c.withDefaults(), calibration: newCalibration(), valuation: &valuation{}}
}

// Decide refuses a request if no server can run it, its workspace is at its limit of requests in
// flight, or its deadline would be missed.
func (p policy) Decide(in Input, random *rand.Rand) Decision {
	if !in.Server {
		return p.Refuse(NoServer, 0, random)
	}
	if in.MaxInFlight > 0 && in.InFlight >= in.MaxInFlight {
		return p.Refuse(TooManyInFlight, in.TTFT, random)
	}
	excess := in.Waited + p.calibration.apply(in.Priority, in.TTFT) - p.allowed(in)
	if in.Deadline > 0 && excess > 0 {
		return p.Refuse(DeadlineMissed, excess, random)
	}
	return Decision{Admit: true, Reason: Fits}
}

func (p policy) Observe(priority int, expected, actual time.Duration) {
	p.calibration.observe(priority, expected, actual)
}

// allowed returns how long the request may wait. Requests with less worth per second of compute
// time may wait for a shorter time.
func (p policy) allowed(in Input) time.Duration {
	value := p.valuation.factor(in.Priority, in.Worth, in.Compute.Seconds())
	return time.Duration(float64(in.Deadline) * min(p.config.Margin*value, 1))
}

// Refuse returns a refusal whose wait is at least wait, spread at random and rounded up to seconds.
// Callers that were refused at the same time and resend at the same time would all be refused
// again; the spread separates them.
func (p policy) Refuse(reason Reason, wait time.Duration, random *rand.Rand) Decision {
	wait = max(wait, p.config.MinRetryAfter)
	wait += time.Duration(float64(wait) * p.config.Spread * random.Float64())
	wait = min(wait, p.config.MaxRetryAfter)
	return Decision{Reason: reason, RetryAfter: roundUp(wait)}
}

// roundUp rounds d up to whole seconds, because the header Retry-After has no fractions.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}
