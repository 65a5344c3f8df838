package route

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/settings/rules"
)

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261203)
	p.MinSuccessfulTests = 1000
	return p
}

func near(a, b float64) bool {
	return math.Abs(a-b) <= 1e-9*max(1, math.Abs(a), math.Abs(b))
}

// Decide keeps running sums and tables shared by all candidates. A wrong sum leads to a server that
// is slower than another one.
func TestDecideAgainstNaive(t *testing.T) {
	s := New(Config{})
	properties := gopter.NewProperties(parameters())
	properties.Property("estimates and choice equal those of the brute-force version", prop.ForAll(
		func(seed uint64, servers, pieces int) bool {
			r := rand.New(rand.NewPCG(seed, 1))
			c := randomCell(r, servers)
			q := randomRequest(r, c, pieces)
			d := s.Decide(start, q, c, r)
			return agrees(q, c, &d)
		}, gen.UInt64(), gen.IntRange(1, 20), gen.IntRange(0, 12)))
	properties.TestingRun(t)
}

func agrees(q *Request, c *Cell, d *Decision) bool {
	lowest := MaybeLost
	for i := range c.Candidates {
		lowest = min(lowest, naiveRank(q, c, &c.Candidates[i]))
	}
	least := math.Inf(1)
	for i := range c.Candidates {
		e := naive(q, c, i)
		if !near(e.Cost, d.Estimates[i].Cost) || !near(e.TTFT, d.Estimates[i].TTFT) {
			return false
		}
		if naiveRank(q, c, &c.Candidates[i]) == lowest {
			least = min(least, e.Cost)
		}
	}
	if naiveRank(q, c, &c.Candidates[d.Server]) != lowest {
		return false
	}
	return d.Estimates[d.Server].Cost <= least*(1+tieTolerance)+1e-9 && len(d.Plan) == len(q.Pieces)
}

// A cell can lose all its servers at once. The decision must then report that no server can run the
// request instead of choosing a lost one.
func TestDecideWithoutCandidates(t *testing.T) {
	d := New(Config{}).Decide(start, &Request{}, &Cell{}, rand.New(rand.NewPCG(1, 1)))
	if d.Server != None || d.Reason != NoCandidate {
		t.Fatalf("got %+v", d)
	}
}

// idle returns n equal idle servers whose last report is age old.
func idle(n int, age time.Duration) *Cell {
	c := &Cell{}
	for i := range n {
		c.Candidates = append(c.Candidates, Candidate{
			Identity:      string(rune('a' + i)),
			ReportedAt:    start.Add(-age),
			PriorityAware: true,
			Load:          announcement.Load{PrefillRate: 10000, MaxRunning: 32, DecodeRate: 40},
		})
	}
	return c
}

// Load reports arrive once a second. If an entry uses them alone, it sends all requests of that
// second to the server that was idle first; those requests queue there while other servers are
// idle.
func TestWorkInFlightSpreadsBetweenReports(t *testing.T) {
	c := idle(4, 0)
	c.Candidates[3].Load.QueuedTokens = 1000
	random := rand.New(rand.NewPCG(2, 2))
	most := func(s Strategy) int {
		cell := &Cell{Candidates: append([]Candidate(nil), c.Candidates...)}
		sent := make([]int, 4)
		for range 40 {
			q := &Request{Tokens: 3000, Rules: rules.Rules{FirstTokenPrice: 1}}
			d := s.Decide(start, q, cell, random)
			sent[d.Server]++
			x := &cell.Candidates[d.Server]
			x.InFlight, x.SentSinceReport = x.InFlight.With(0, 1, 3000), x.SentSinceReport.With(0, 1, 3000)
		}
		return max(sent[0], sent[1], sent[2], sent[3])
	}
	if n := most(New(Config{})); n > 11 {
		t.Errorf("one server got %d of 40 requests", n)
	}
}

// The link of a store slows down tenfold. An import over it makes the caller wait longer than
// recomputing the piece would.
func TestSlowImportIsRecomputed(t *testing.T) {
	c := idle(2, 0)
	c.Stores = []Store{{Identity: "store", LinkRate: 2e9}}
	q := &Request{Tokens: 8100, Rules: rules.Rules{FirstTokenPrice: 1}}
	for range 2 {
		q.Pieces = append(q.Pieces, Piece{Tokens: 4000, Bytes: 5e8, Copies: []Copy{{}}})
	}
	random := rand.New(rand.NewPCG(3, 3))
	s := New(Config{})
	if d := s.Decide(start, q, c, random); d.Plan[1].Source != Import || d.Reason != PrefixImported {
		t.Errorf("fast link: got %+v", d)
	}
	c.Stores[0].LinkRate = 2e8
	if d := s.Decide(start, q, c, random); d.Plan[0].Source != Recompute || d.Reason != LeastCost {
		t.Errorf("slow link: got %+v", d)
	}
}

// Many requests with the same prefix arrive at once. A policy that considers only which server
// holds the prefix sends all of them to one server, whose queue grows without bound.
func TestHotPrefixLeavesItsServer(t *testing.T) {
	c := idle(3, 0)
	q := &Request{Tokens: 8100, Rules: rules.Rules{FirstTokenPrice: 1}}
	for range 2 {
		q.Pieces = append(q.Pieces, Piece{Tokens: 4000, Bytes: 5e8, Engines: []int{0}})
	}
	random := rand.New(rand.NewPCG(4, 4))
	s := New(Config{})
	if d := s.Decide(start, q, c, random); d.Server != 0 || d.Reason != PrefixInMemory {
		t.Errorf("idle holder: got %+v", d)
	}
	c.Candidates[0].SentSinceReport = c.Candidates[0].SentSinceReport.With(0, 10, 30000)
	c.Candidates[0].InFlight = c.Candidates[0].SentSinceReport
	if d := s.Decide(start, q, c, random); d.Server == 0 {
		t.Errorf("busy holder: got %+v", d)
	}
}

// Long prompts fill every queue when an urgent status read arrives. The estimate must let it
// overtake them, and long prompts must not use the reserve server.
func TestUrgentPassesLongWork(t *testing.T) {
	c := idle(2, 0)
	c.Candidates[1].Reserve = true
	c.Candidates[0].InFlight = Work{}.With(1, 3, 90000)
	c.Candidates[0].SentSinceReport = c.Candidates[0].InFlight
	random := rand.New(rand.NewPCG(5, 5))
	s := New(Config{})
	read := &Request{Tokens: 300, Rules: rules.Rules{Priority: 7, FirstTokenPrice: 10}}
	d := s.Decide(start, read, c, random)
	if d.Server != 1 || d.Estimates[0].TTFT > 0.3 {
		t.Errorf("status read: got %+v", d)
	}
	c.Candidates[0].InFlight, c.Candidates[0].SentSinceReport = Work{}, Work{}
	draft := &Request{Tokens: 30000, Rules: rules.Rules{Priority: 1, FirstTokenPrice: 1}}
	if d := s.Decide(start, draft, c, random); d.Server != 0 {
		t.Errorf("draft: got %+v", d)
	}
}

// A server that has just started announces itself without load figures. It must be usable, and its
// missing prefill rate must not affect the choice between other servers.
func TestServerWithoutReportIsUsable(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	s := New(Config{})
	q := &Request{Tokens: 3000, Rules: rules.Rules{FirstTokenPrice: 1}}
	c := idle(2, 0)
	c.Candidates[0].Load = announcement.Load{}
	d := s.Decide(start, q, c, random)
	if d.Server != 1 || math.IsNaN(d.Estimates[0].Cost) || math.IsInf(d.Estimates[0].Cost, 0) {
		t.Errorf("got %+v", d)
	}
	c.Candidates = c.Candidates[:1]
	if d := s.Decide(start, q, c, random); d.Server != 0 || d.TTFT <= 0 {
		t.Errorf("got %+v", d)
	}
}
