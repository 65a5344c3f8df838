package digest

import (
	"strings"
	"testing"
)

func TestTextRoundTrip(t *testing.T) {
	d := Of("key")
	got, err := Parse(d.String())
	if err != nil || !got.Equal(d) {
		t.Errorf("got %s, %v", got, err)
	}
}

// A digest with a slip in it, or one of zeros, matches no key; taken silently,
// the one whose key it should be is locked out and learns no reason.
func TestParseRefusesSlips(t *testing.T) {
	good := Of("key").String()
	for _, text := range []string{"", "key", strings.TrimPrefix(good, Prefix), good[:70], good + "0", strings.Replace(good, good[10:11], "g", 1), Prefix + strings.Repeat("0", 64)} {
		if d, err := Parse(text); err == nil {
			t.Errorf("%q was taken as %s", text, d)
		}
	}
}

// A list of keys that lacks one must not let in those who send none.
func TestZeroDigestEqualsNothing(t *testing.T) {
	if (Digest{}).Equal(Digest{}) {
		t.Error("two unset digests are equal")
	}
}
