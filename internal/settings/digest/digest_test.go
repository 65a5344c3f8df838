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

// A mistyped digest or one of zeros matches no key. If it were accepted, the owner
// of the key would be locked out without an explanation.
func TestParseRejectsInvalidDigests(t *testing.T) {
	good := Of("key").String()
	for _, text := range []string{"", "key", strings.TrimPrefix(good, Prefix), good[:70], good + "0", strings.Replace(good, good[10:11], "g", 1), Prefix + strings.Repeat("0", 64)} {
		if d, err := Parse(text); err == nil {
			t.Errorf("%q was accepted as %s", text, d)
		}
	}
}

// An unset digest in a list of keys must not admit callers that send no key.
func TestZeroDigestEqualsNothing(t *testing.T) {
	if (Digest{}).Equal(Digest{}) {
		t.Error("two unset digests are equal")
	}
}
