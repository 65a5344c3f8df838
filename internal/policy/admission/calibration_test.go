package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Urgent requests keep overtaking a long prompt after it was admitted, so that its estimate falls
// short and its caller disconnects just before the first token. After such observations long
// prompts are refused at once; urgent requests are not.
func TestEstimatesThatFallShortAreCorrected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := New(Config{Margin: 0.9})
	draft := Input{Server: true, Priority: 2, TTFT: 60 * time.Second, Deadline: 100 * time.Second}
	if !p.Decide(draft, random).Admit {
		t.Fatal("refused without any observation")
	}
	for range 200 {
		p.Observe(2, 50*time.Second, 100*time.Second)
	}
	if d := p.Decide(draft, random); d.Reason != DeadlineMissed {
		t.Errorf("got %+v", d)
	}
	urgent := draft
	urgent.Priority = 7
	if !p.Decide(urgent, random).Admit {
		t.Error("observations in one band changed the estimates of another")
	}
	for range 200 {
		p.Observe(2, 50*time.Second, 10*time.Second)
	}
	if !p.Decide(draft, random).Admit {
		t.Error("refused although recent estimates were correct")
	}
}
