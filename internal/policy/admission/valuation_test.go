package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// More long prompts arrive than can be served. One that takes four times as long as the others for
// the same worth would make several of them miss their deadlines. It is refused while a short one
// is still admitted.
func TestWorthDecidesWhenTimeIsShort(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := New(Config{})
	in := func(compute time.Duration, worth float64, ttft time.Duration) Input {
		return Input{Server: true, Priority: 2, Worth: worth, Compute: compute, TTFT: ttft, Deadline: 100 * time.Second}
	}
	for range 500 {
		p.Decide(in(2*time.Second, 3, time.Second), random)
	}
	if d := p.Decide(in(8*time.Second, 3, 60*time.Second), random); d.Admit {
		t.Error("a long prompt of equal worth was admitted")
	}
	if d := p.Decide(in(time.Second, 3, 60*time.Second), random); !d.Admit {
		t.Error("a short prompt of equal worth was refused")
	}
	if d := p.Decide(in(8*time.Second, 12, 60*time.Second), random); !d.Admit {
		t.Error("a long prompt of four times the worth was refused")
	}
	if d := p.Decide(in(8*time.Second, 3, 30*time.Second), random); !d.Admit {
		t.Error("a long prompt was refused although there is time")
	}
}
