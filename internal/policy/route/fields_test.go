package route

import (
	"math/rand/v2"
	"strings"
	"testing"
)

func TestFieldsNameEveryCandidate(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	c := randomCell(r, 3)
	d := New(Config{}).Decide(start, randomRequest(r, c, 4), c, r)
	f := d.Fields(c)
	for i := range c.Candidates {
		if !strings.Contains(f["estimates"].(string), c.Candidates[i].Identity+":") {
			t.Errorf("%s is missing in %v", c.Candidates[i].Identity, f)
		}
	}
	if f["in-memory"].(int)+f["import"].(int)+f["recompute"].(int) != 4 || f["server"] != d.Identity {
		t.Errorf("got %v", f)
	}
}
