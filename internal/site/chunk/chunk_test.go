package chunk

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func findNone(Digest) (Chunk, bool) { return Chunk{}, false }

func randomRecords(n int, seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"h%x.example","path-prefix":"/%x/"}`, i, r.Uint64(), r.Uint64())
	}
	return b.Bytes()
}

func TestJoinGivesBackTheText(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("joining the chunks of a text returns the text", prop.ForAll(
		func(n int, seed uint64) bool {
			text := randomRecords(n, seed)
			all, err := Split(text, findNone)
			if err != nil {
				return false
			}
			got, err := Join(all)
			return err == nil && bytes.Equal(got, text)
		},
		gen.IntRange(0, 600), gen.UInt64(),
	))
	properties.TestingRun(t)
}

// A text that changes in one place has only a few chunks that its previous version lacks.
func TestVersionsShareChunks(t *testing.T) {
	before := randomRecords(4000, 7)
	known := map[Digest]Chunk{}
	all, err := Split(before, findNone)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range all {
		known[c.Digest] = c
	}
	for name, at := range map[string]int{"start": 0, "middle": len(before) / 2, "end": len(before)} {
		after := bytes.Join([][]byte{before[:at], []byte("something else"), before[at:]}, nil)
		missing := 0
		if _, err := Split(after, func(d Digest) (Chunk, bool) {
			c, ok := known[d]
			if !ok {
				missing++
			}
			return c, ok
		}); err != nil {
			t.Fatal(err)
		}
		if missing > 3 {
			t.Errorf("%s: %d of %d chunks are new", name, missing, len(all))
		}
	}
}

func TestJoinRefusesContentThatDoesNotMatchItsDigest(t *testing.T) {
	all, err := Split(randomRecords(500, 3), findNone)
	if err != nil {
		t.Fatal(err)
	}
	other := all[0]
	other.Data = all[len(all)-1].Data
	huge := all[0]
	huge.Size = maxBytes + 1
	for name, c := range map[string]Chunk{"another content": other, "no content": all[0].WithoutData(), "a size beyond the limit": huge} {
		if _, err := Join([]Chunk{c}); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	truncated := all[0]
	truncated.Data = truncated.Data[:len(truncated.Data)/2]
	if _, err := Join([]Chunk{truncated}); err == nil {
		t.Error("a truncated chunk was accepted")
	}
}
