package tomlfile

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestNearest(t *testing.T) {
	known := []string{"deadline", "priority", "share", "retry-share"}
	for name, want := range map[string]string{"priorty": "priority", "dead-line": "deadline", "shares": "share", "colour": ""} {
		if got, _ := Nearest(name, known); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

func TestLines(t *testing.T) {
	l := LinesOf([]byte("a = 1\n\n[b.c]\nd = {e = 2}\n\n[[f]]\ng = 1\n[[f]]\ng = 2\n"))
	for key, want := range map[string]int{"a": 1, "b.c": 3, "b.c.d": 4, "b.c.d.e": 4, "f[0].g": 7, "f[1].g": 9, "f[1].missing": 8, "missing": 0} {
		if got := l.Of(key); got != want {
			t.Errorf("%s: got %d, want %d", key, got, want)
		}
	}
}

// Guards against lines that are counted from the start of the text for each key, and against many short keys in a table with
// a long name: the first takes hours here, the second hundreds of gigabytes.
func TestLinesOfManyKeys(t *testing.T) {
	const size = 4 << 20
	for _, table := range []string{"t", strings.Repeat("n", size/2)} {
		var text strings.Builder
		fmt.Fprintf(&text, "[%s]\n", table)
		keys := 0
		for ; text.Len() < size; keys++ {
			fmt.Fprintf(&text, "%x=1\n", keys)
		}
		l := LinesOf([]byte(text.String()))
		if got := l.Of(table); got != 1 {
			t.Errorf("the table is on line %d", got)
		}
		if got := l.Of(fmt.Sprintf("t.%x", keys-1)); table == "t" && got != keys+1 {
			t.Errorf("the last of %d keys is on line %d", keys, got)
		}
		size := 0
		for key := range l {
			size += len(key)
		}
		if size > maxLinesFactor*text.Len() {
			t.Errorf("keys of %d bytes for a text of %d", size, text.Len())
		}
	}
}

// Guards against a table with so many keys that its decoding takes minutes.
func TestTablesHaveABoundedNumberOfKeys(t *testing.T) {
	for _, key := range []string{"%x=1\n", "[%x]\n", "[[%x]]\n", "%x.b=1\n", "a.%x=1\n", "[a.b]\n[a.b.%x]\n", "a = {%x=1}\n", "a=[{b.%x=1}]\n"} {
		var text strings.Builder
		for i := range MaxChildren {
			fmt.Fprintf(&text, key, i)
		}
		if err := CheckChildren("f", []byte(text.String())); err != nil {
			t.Errorf("%s: %v", key, err)
		}
		fmt.Fprintf(&text, key, MaxChildren)
		var p Problems
		if !errors.As(CheckChildren("f", []byte(text.String())), &p) {
			t.Errorf("%s: one key too many is allowed", key)
		}
	}
}

type sample struct {
	Name  string `toml:"name"`
	Inner []struct {
		Port int `toml:"port"`
	} `toml:"inner"`
}

func TestDecodeNamesAllUnknownKeys(t *testing.T) {
	_, err := Decode[sample]("s.toml", []byte("nmae = 1\n[[inner]]\nprot = 2\n[other]\n"))
	var p Problems
	if !errors.As(err, &p) || len(p) != 3 {
		t.Fatalf("got %v", err)
	}
	if p[0].Error() != "s.toml:1: nmae: unknown key; the nearest known key is name" || p[1].Error() != "s.toml:3: inner.prot: unknown key; the nearest known key is port" {
		t.Errorf("got %v", err)
	}
	_, err = Decode[sample]("s.toml", []byte("name = 1\n"))
	if !errors.As(err, &p) || p[0].Line != 1 || p[0].Key != "name" {
		t.Errorf("got %v", err)
	}
}
