package directory

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/cache/block"
)

// A node of the cell is lost. Its keys must be found at their second holders,
// and no other key may move.
func TestSecondHolderAnswers(t *testing.T) {
	nodes := []string{"a", "b", "c", "d"}
	r, less := NewRing(nodes), NewRing(nodes[:3])
	directories := map[string]Directory{}
	for _, n := range nodes {
		directories[n] = New(Config{})
	}
	var keys []block.Key
	var seals []KeyedMessage
	for i := range 400 {
		k := benchKey(i)
		keys = append(keys, k)
		c := StoreChange{Store: "store-1", Incarnation: 1, Key: k, To: Sealed, Generation: uint64(i + 1), Bytes: 7}
		seals = append(seals, KeyedMessage{Key: k, Message: Message{Store: &c}})
	}
	now := time.Unix(0, 0)
	for _, b := range r.NodeBatches(seals) {
		reply := Serve(directories[b.To], now, b.Message)
		for i := range b.Indexes {
			if reply.Batch[i].Effect.Outcome != Applied {
				t.Fatalf("%s: got %+v", b.To, reply.Batch[i])
			}
		}
	}
	q := r.Query(keys, func(n string) bool { return n == "d" })
	var answers []Locations
	for _, p := range q.Parts() {
		if p.To == "d" {
			t.Fatal("the lost node is queried")
		}
		answers = append(answers, Serve(directories[p.To], now, Message{Lookup: &p.Lookup}).Locations)
	}
	for i, l := range q.Join(answers) {
		if len(l.Stores) != 1 || l.Stores[0].Generation != uint64(i+1) {
			t.Fatalf("piece %d is at %+v", i, l)
		}
	}
	for _, k := range keys {
		first, second := r.Holders(k)
		left, _ := less.Holders(k)
		if first != 3 && left != first {
			t.Errorf("a key moved from %s to %s", nodes[first], nodes[left])
		}
		if first == 3 && left != second {
			t.Errorf("a key moved past its second holder")
		}
	}
	answers[0] = answers[0][:1]
	if all := q.Join(answers); len(all) != len(keys) {
		t.Errorf("a short answer gives %d locations", len(all))
	}
}

func TestHoldersOfSmallCells(t *testing.T) {
	k := benchKey(1)
	for n, want := range []string{"-1 -1", "0 0"} {
		var nodes []string
		for i := range n {
			nodes = append(nodes, fmt.Sprint(i))
		}
		first, second := NewRing(nodes).Holders(k)
		if got := fmt.Sprint(first, " ", second); got != want {
			t.Errorf("%d nodes: got %s", n, got)
		}
	}
	nested := Message{Batch: []Message{{Batch: []Message{{}}}}}
	if r := Serve(New(Config{}), time.Unix(0, 0), nested); r.Batch[0].Effect.Outcome != Refused {
		t.Errorf("a batch within a batch: got %+v", r)
	}
}
