package tomlfile

import (
	"errors"
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
