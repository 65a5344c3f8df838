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

func none(Digest) (Chunk, bool) { return Chunk{}, false }

func lines(n int, seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"h%x.example","path-prefix":"/%x/"}`, i, r.Uint64(), r.Uint64())
	}
	return b.Bytes()
}

func TestJoinGivesBackTheText(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParameters())
	p.Property("join of cut is the text", prop.ForAll(
		func(n int, seed uint64) bool {
			text := lines(n, seed)
			all, err := Cut(text, none)
			if err != nil {
				return false
			}
			got, err := Join(all)
			return err == nil && bytes.Equal(got, text)
		},
		gen.IntRange(0, 600), gen.UInt64(),
	))
	p.TestingRun(t)
}

// A text that changes in one place has few chunks that its predecessor lacks.
func TestVersionsShareChunks(t *testing.T) {
	before := lines(4000, 7)
	held := map[Digest]Chunk{}
	all, err := Cut(before, none)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range all {
		held[c.Digest] = c
	}
	for name, at := range map[string]int{"start": 0, "middle": len(before) / 2, "end": len(before)} {
		after := bytes.Join([][]byte{before[:at], []byte("something else"), before[at:]}, nil)
		lacking := 0
		if _, err := Cut(after, func(d Digest) (Chunk, bool) {
			c, ok := held[d]
			if !ok {
				lacking++
			}
			return c, ok
		}); err != nil {
			t.Fatal(err)
		}
		if lacking > 3 {
			t.Errorf("%s: %d of %d chunks are new", name, lacking, len(all))
		}
	}
}

func TestJoinRefusesWhatIsNotItsName(t *testing.T) {
	all, err := Cut(lines(500, 3), none)
	if err != nil {
		t.Fatal(err)
	}
	other := all[0]
	other.Data = all[len(all)-1].Data
	huge := all[0]
	huge.Size = maxBytes + 1
	for name, c := range map[string]Chunk{"another content": other, "no content": all[0].WithoutData(), "a size beyond the limit": huge} {
		if _, err := Join([]Chunk{c}); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
	cut := all[0]
	cut.Data = cut.Data[:len(cut.Data)/2]
	if _, err := Join([]Chunk{cut}); err == nil {
		t.Error("half of a chunk was taken")
	}
}
