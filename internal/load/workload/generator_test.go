package workload

import (
	"math"
	"reflect"
	"testing"
	"time"
)

func all(c Config) []Arrival {
	g := New(c)
	var list []Arrival
	for a, ok := g.Next(); ok; a, ok = g.Next() {
		list = append(list, a)
	}
	return list
}

func config(d Deployment) Config {
	return Config{Deployment: d, Rate: 20, Length: time.Hour, Seed: 7}
}

func TestSameSeedGivesSameArrivals(t *testing.T) {
	for _, d := range []Deployment{Certilote(), Association()} {
		if !reflect.DeepEqual(all(config(d)), all(config(d))) {
			t.Errorf("%s: two runs differ", d.Name)
		}
	}
}

func TestArrivalsFollowTheDeployment(t *testing.T) {
	for _, d := range []Deployment{Certilote(), Association()} {
		list := all(config(d))
		if n := float64(len(list)) / 3600; math.Abs(n-20) > 1.5 {
			t.Errorf("%s: %.1f requests a second", d.Name, n)
		}
		last := map[uint64]Arrival{}
		for i, a := range list {
			if i > 0 && a.At < list[i-1].At {
				t.Fatalf("%s: arrival %d is out of order", d.Name, i)
			}
			checkReturn(t, d, last, a)
		}
	}
}

// checkReturn compares a returning document with its last visit.
func checkReturn(t *testing.T, d Deployment, last map[uint64]Arrival, a Arrival) {
	t.Helper()
	b, ok := last[a.Document]
	last[a.Document] = a
	if a.Document == 0 || !ok {
		return
	}
	if a.Visit != b.Visit+1 || a.Workspace != b.Workspace || a.At-b.At < d.Classes[a.Class].ReturnGap[0] {
		t.Errorf("%s: document %d returned as %+v after %+v", d.Name, a.Document, a, b)
	}
	if !reflect.DeepEqual(a.Pieces[:len(b.Pieces)], b.Pieces) {
		t.Errorf("%s: document %d has another prefix", d.Name, a.Document)
	}
}

// Two workspaces that send the same text must not share cache pieces. Otherwise one
// could infer from the latency of its responses what the other has sent.
func TestWorkspacesShareNoPiece(t *testing.T) {
	owner := map[uint64]string{}
	for _, a := range all(config(Certilote())) {
		for _, k := range a.Pieces {
			if w, ok := owner[k]; ok && w != a.Workspace {
				t.Fatalf("%s and %s share a piece", w, a.Workspace)
			}
			owner[k] = a.Workspace
		}
	}
}
