package admission

import (
	"math/rand/v2"
	"time"
)

// Policy admits requests.
type Policy interface {
	// Decide returns whether the request is taken; random spreads the waits of refused callers.
	Decide(in Input, random *rand.Rand) Decision
	// Observe tells how long a first token took that was expected after expected, or
	// when its caller gave up.
	Observe(priority int, expected, actual time.Duration)
	// Refuse returns the refusal for reason to one who should come back after about wait.
	Refuse(why Reason, wait time.Duration, random *rand.Rand) Decision
}

type policy struct {
	config      Config
	calibration *calibration
	valuation   *valuation
}

// New returns the policy that admits what is expected to make its deadline.
func New(c Config) Policy {
	return policy{config: c.withDefaults(), calibration: newCalibration(), valuation: &valuation{}}
}

// Decide returns a refusal when there is no server, no room in flight or not enough time.
func (p policy) Decide(in Input, random *rand.Rand) Decision {
	if !in.Server {
		return p.Refuse(NoServer, 0, random)
	}
	if in.MaxInFlight > 0 && in.InFlight >= in.MaxInFlight {
		return p.Refuse(TooManyInFlight, in.TTFT, random)
	}
	late := in.Waited + p.calibration.apply(in.Priority, in.TTFT) - p.allowed(in)
	if in.Deadline > 0 && late > 0 {
		return p.Refuse(DeadlineMissed, late, random)
	}
	return Decision{Admit: true, Reason: Fits}
}

func (p policy) Observe(priority int, expected, actual time.Duration) {
	p.calibration.observe(priority, expected, actual)
}

// allowed returns how long the request may wait; what is worth less for the time it takes, less long.
func (p policy) allowed(in Input) time.Duration {
	value := p.valuation.factor(in.Priority, in.Worth, in.Compute.Seconds())
	return time.Duration(float64(in.Deadline) * min(p.config.Margin*value, 1))
}

// Refuse returns a refusal whose wait is at least wait, spread at random and rounded up to seconds.
// Callers that were refused together and come back together would be refused
// together again; the spread parts them.
func (p policy) Refuse(why Reason, wait time.Duration, random *rand.Rand) Decision {
	wait = max(wait, p.config.MinRetryAfter)
	wait += time.Duration(float64(wait) * p.config.Spread * random.Float64())
	wait = min(wait, p.config.MaxRetryAfter)
	return Decision{Reason: why, RetryAfter: roundUp(wait)}
}

// roundUp returns d in whole seconds, because the header Retry-After has no fractions.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}
