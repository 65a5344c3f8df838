package block

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// If a new version of the entry computed different keys, it would find none of
// the stored pieces, and every prompt would be recomputed.
func TestKeysStayTheSame(t *testing.T) {
	s := Scope{Workspace: "certilote", Model: "drafter", WeightVersion: "v7", PieceTokens: 2}
	var b bytes.Buffer
	fmt.Fprintln(&b, "root", s.Root())
	for _, k := range s.Tokens([]uint32{1, 2, 3, 4, 5}) {
		fmt.Fprintln(&b, "tokens", k)
	}
	for _, k := range s.Text([]byte("two full pieces and a rest")) {
		fmt.Fprintln(&b, "text", k)
	}
	const golden = "testdata/keys.golden"
	if *update {
		if err := os.WriteFile(golden, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, b.Bytes()) {
		t.Errorf("got\n%swant\n%s", b.Bytes(), want)
	}
}

// Two workspaces choose names, models and prompts whose concatenations are
// equal. If the key only joined the fields, one customer's prompt would be
// answered from the other's cache.
func TestScopesNeverShareKeys(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(5)
	p.MinSuccessfulTests = 2000
	all := gopter.NewProperties(p)
	word := gen.OneConstOf("", "a", "b", "ab", "ba", "a\x00", "\x00a")
	scope := gopter.CombineGens(word, word, word, word, gen.IntRange(1, 2)).Map(func(v []any) Scope {
		return Scope{
			Workspace:     v[0].(string),
			Model:         v[1].(string),
			WeightVersion: v[2].(string),
			Adapter:       v[3].(string),
			PieceTokens:   v[4].(int),
		}
	})
	all.Property("equal keys imply equal scopes", prop.ForAll(func(a, b Scope, text string) bool {
		prompt := []byte(text + "12345678")
		return (a == b) == (a.Text(prompt)[0] == b.Text(prompt)[0])
	}, scope, scope, gen.AlphaString()))
	all.Property("a piece's key depends on all pieces before it", prop.ForAll(func(s Scope, prompt []uint32, at int) bool {
		if len(prompt) == 0 {
			return true
		}
		other := append([]uint32(nil), prompt...)
		at %= len(prompt)
		other[at]++
		a, b := s.Tokens(prompt), s.Tokens(other)
		for i := range a {
			same := (i+1)*s.PieceTokens <= at
			if (a[i] == b[i]) != same {
				return false
			}
		}
		return true
	}, scope, gen.SliceOf(gen.UInt32()), gen.IntRange(0, 1000)))
	all.TestingRun(t)
}

func TestTextOfAKey(t *testing.T) {
	k := Scope{PieceTokens: 1}.Root()
	got, err := Parse(k.String())
	if err != nil || got != k {
		t.Fatalf("got %s, %v", got, err)
	}
	for _, bad := range []string{"", "00", k.String() + "00", "G" + k.String()[1:], "A" + k.String()[1:]} {
		if _, err := Parse(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func BenchmarkTokens(b *testing.B) {
	s := Scope{Workspace: "certilote", Model: "drafter", WeightVersion: "v7", PieceTokens: 4000}
	prompt := make([]uint32, 8*4000)
	b.ReportAllocs()
	for b.Loop() {
		s.Tokens(prompt)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/8, "ns/piece")
}
