package model

import "time"

// summary adds up requests into a Result.
type summary struct {
	run        *run
	result     Result
	times      [][]time.Duration
	prompt     int
	recomputed int
	offered    map[string]float64
	served     map[string]float64
}

func newSummary(r *run, links Result) *summary {
	s := &summary{run: r, result: links, offered: map[string]float64{}, served: map[string]float64{}}
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
	s.offered[q.arrival.Workspace] += q.arrival.Rules.Worth
	s.prompt += q.prompt
	s.recomputed += q.recomputed
	switch q.outcome {
	case answered:
		c.Answered++
		s.result.Answered++
		s.served[q.arrival.Workspace] += q.arrival.Rules.Worth
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
	var offered, served float64
	for _, c := range s.run.config.Deployment.Customers {
		offered += s.offered[c.Workspace]
		served += s.served[c.Workspace]
		x.LeastServed = min(x.LeastServed, ratio(s.served[c.Workspace], s.offered[c.Workspace]))
	}
	x.Worth = served / length
	x.WorthShare = ratio(served, offered)
	return *x
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
