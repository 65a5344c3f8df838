package model

import "time"

// summary adds up requests into a Result.
type summary struct {
	run        *run
	result     Result
	times      [][]time.Duration
	prompt     int
	recomputed int
	offered    float64
	served     float64
	shares     map[group]*tally
}

func newSummary(r *run, links Result) *summary {
	s := &summary{run: r, result: links, shares: map[group]*tally{}}
	s.times = make([][]time.Duration, len(r.config.Deployment.Classes))
	for _, c := range r.config.Deployment.Classes {
		s.result.Classes = append(s.result.Classes, ClassResult{Name: c.Name})
	}
	return s
}

func (s *summary) add(q *request) {
	c := &s.result.Classes[q.arrival.Class]
	c.Arrived++
	s.result.Arrived++
	s.offered += q.arrival.Rules.Worth
	t := s.tally(q)
	t.arrived++
	s.prompt += q.prompt
	s.recomputed += q.recomputed
	switch q.outcome {
	case answered:
		c.Answered++
		s.result.Answered++
		t.answered++
		s.served += q.arrival.Rules.Worth
		s.times[q.arrival.Class] = append(s.times[q.arrival.Class], q.ttft)
	case refused:
		c.Refused++
		s.result.Refused++
	case lost:
		s.result.Lost++
	default:
		s.result.Late++
	}
}

// enough is the least number of requests of which a share tells something.
const enough = 100

// group is the requests of one workspace and class.
type group struct {
	workspace string
	class     int
}

// tally counts the requests of a group.
type tally struct {
	arrived  int
	answered int
}

func (s *summary) tally(q *request) *tally {
	g := group{workspace: q.arrival.Workspace, class: q.arrival.Class}
	t, ok := s.shares[g]
	if !ok {
		t = &tally{}
		s.shares[g] = t
	}
	return t
}

func (s *summary) done() Result {
	x := &s.result
	for i := range x.Classes {
		x.Classes[i].quantiles(s.times[i])
	}
	x.Wrong = s.run.wrong
	x.Recomputed = ratio(float64(s.recomputed), float64(s.prompt))
	length := s.run.config.Measured.Seconds()
	x.Goodput = float64(x.Answered) / length
	x.LeastServed = 1
	for g, t := range s.shares {
		if g.workspace != s.run.config.Flooder && t.arrived >= enough {
			x.LeastServed = min(x.LeastServed, ratio(float64(t.answered), float64(t.arrived)))
		}
	}
	x.Worth = s.served / length
	x.WorthShare = ratio(s.served, s.offered)
	return *x
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
