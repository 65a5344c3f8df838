package fairness

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// naiveQueue is a brute-force deficit round robin, which grants one quantum at a time.
type naiveQueue struct {
	order   []string
	items   map[string][]Item[int]
	deficit map[string]float64
	granted bool
}

func (n *naiveQueue) push(i Item[int]) {
	if len(n.items[i.Workspace]) == 0 {
		n.order = append(n.order, i.Workspace)
	}
	n.items[i.Workspace] = append(n.items[i.Workspace], i)
}

func (n *naiveQueue) pop(quantum float64) Item[int] {
	for {
		w := n.order[0]
		first := n.items[w][0]
		if !n.granted {
			n.deficit[w] += quantum * first.Share
			n.granted = true
		}
		if n.deficit[w] < first.Cost {
			n.order, n.granted = append(n.order[1:], w), false
			continue
		}
		n.deficit[w] -= first.Cost
		n.items[w] = n.items[w][1:]
		if len(n.items[w]) == 0 {
			n.order, n.granted = n.order[1:], false
			delete(n.deficit, w)
		}
		return first
	}
}

func TestQueueAgainstNaive(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261203))
	properties.Property("same order as the brute-force queue", prop.ForAll(
		func(seed uint64, steps int) bool {
			r := rand.New(rand.NewPCG(seed, 0))
			q := New[int](Config{Quantum: 1, MaxWaiting: 1000})
			n := &naiveQueue{items: map[string][]Item[int]{}, deficit: map[string]float64{}}
			for i := range steps {
				w := r.IntN(5)
				if r.IntN(3) > 0 {
					x := Item[int]{Workspace: string(rune('a' + w)), Share: float64(w + 1), Cost: float64(r.IntN(40)), Value: i}
					q.Push(x)
					n.push(x)
					continue
				}
				if q.Len() == 0 {
					continue
				}
				got, _ := q.Pop()
				if want := n.pop(1); got.Value != want.Value {
					return false
				}
			}
			return true
		}, gen.UInt64(), gen.IntRange(1, 300)))
	properties.TestingRun(t)
}

// One large workspace sends far more requests than its share. Small workspaces must still get their
// shares of the servers, and the queue of the large one must stay bounded.
func TestLargeWorkspaceDoesNotStarveSmallOnes(t *testing.T) {
	q := New[int](Config{MaxWaiting: 100})
	refused := 0
	for range 1000 {
		if !q.Push(Item[int]{Workspace: "large", Share: 3, Cost: 2}) {
			refused++
		}
	}
	for range 50 {
		q.Push(Item[int]{Workspace: "small", Share: 1, Cost: 2})
	}
	if refused != 900 || q.Len() != 150 {
		t.Fatalf("refused %d, waiting %d", refused, q.Len())
	}
	small := 0
	for range 40 {
		i, _ := q.Pop()
		if i.Workspace == "small" {
			small++
		}
	}
	if small < 9 || small > 11 {
		t.Errorf("the small workspace got %d of 40", small)
	}
}

func TestAheadIsWhatIsPoppedBefore(t *testing.T) {
	q := New[int](Config{Quantum: 4})
	for i := range 6 {
		q.Push(Item[int]{Workspace: "large", Share: 1, Cost: 2, Value: i})
	}
	if n := q.Ahead("small", 1, 2); n != 4 {
		t.Errorf("want the cost of one round of the large workspace, got %v", n)
	}
	if n := q.Ahead("large", 1, 2); n != 12 {
		t.Errorf("want the cost of its own items, got %v", n)
	}
}
