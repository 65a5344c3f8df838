package model

import "time"

// summary accumulates requests into a Result.
type summary struct {
	run           *run
	result        Result
	times         [][]time.Duration
	prompt        int
	recomputed    int
	offeredWorth  float64
	answeredWorth float64
	groups        map[requestGroup]*groupCounts
}

func newSummary(r *run, links Result) *summary {
	s := &summary{run: r, result: links, groups: map[requestGroup]*groupCounts{}}
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
	s.offeredWorth += q.arrival.Rules.Worth
	counts := s.countsOf(q)
	counts.arrived++
	s.prompt += q.prompt
	s.recomputed += q.recomputed
	switch q.outcome {
	case answered:
		c.Answered++
		s.result.Answered++
		counts.answered++
		s.answeredWorth += q.arrival.Rules.Worth
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

// minGroupSize is the smallest group of requests whose fraction of answers is meaningful.
const minGroupSize = 100

// requestGroup identifies the requests of one workspace and class.
type requestGroup struct {
	workspace string
	class     int
}

// groupCounts counts the requests of a group.
type groupCounts struct {
	arrived  int
	answered int
}

func (s *summary) countsOf(q *request) *groupCounts {
	g := requestGroup{workspace: q.arrival.Workspace, class: q.arrival.Class}
	counts, ok := s.groups[g]
	if !ok {
		counts = &groupCounts{}
		s.groups[g] = counts
	}
	return counts
}

func (s *summary) done() Result {
	x := &s.result
	for i := range x.Classes {
		x.Classes[i].quantiles(s.times[i])
	}
	x.Wrong = s.run.missingPieces
	x.Recomputed = ratio(float64(s.recomputed), float64(s.prompt))
	length := s.run.config.Measured.Seconds()
	x.Goodput = float64(x.Answered) / length
	x.LeastServed = 1
	for g, counts := range s.groups {
		if g.workspace != s.run.config.Flooder && counts.arrived >= minGroupSize {
			x.LeastServed = min(x.LeastServed, ratio(float64(counts.answered), float64(counts.arrived)))
		}
	}
	x.Worth = s.answeredWorth / length
	x.WorthShare = ratio(s.answeredWorth, s.offeredWorth)
	return *x
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
