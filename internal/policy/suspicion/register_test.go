package suspicion

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an entry whose memory grows with each part that was ever suspected.
func TestRegisterForgetsClearedAttributes(t *testing.T) {
	r, now := NewRegister(), time.Unix(1_800_000_000, 0)
	bad := FingerprintOfPart([]byte("bad"))
	r.Apply(bad, Period{Version: 1, Quarantined: true, Kind: Part}, now)
	for i := range 3 * maxKnown {
		f := FingerprintOfPart([]byte(fmt.Sprint(i)))
		r.Apply(f, Period{Version: uint64(2*i + 2), Suspected: true, Kind: Part}, now)
		r.Apply(f, Period{Version: uint64(2*i + 3)}, now)
	}
	if len(r.known) > maxKnown {
		t.Errorf("%d attributes are known", len(r.known))
	}
	if _, refused := r.Match("w", Attributes{Parts: []Fingerprint{bad}}, now); !refused {
		t.Error("a quarantined part was forgotten")
	}
}

// Guards against a sound part that stays refused because its only probe goes to a request that another part has refused.
func TestProbeIsNotSpentOnARequestThatIsRefusedAnyway(t *testing.T) {
	r, now := NewRegister(), time.Unix(1_800_000_000, 0)
	sound, bad := FingerprintOfPart([]byte("sound")), FingerprintOfPart([]byte("bad"))
	for i, f := range []Fingerprint{sound, bad} {
		r.Apply(f, Period{Version: uint64(i + 1), Quarantined: true, Kind: Part}, now)
	}
	r.Asked(sound, true, now)
	both := Attributes{Request: FingerprintOf("w", "x", []byte("1")), Parts: []Fingerprint{sound, bad}}
	if m, refused := r.Match("w", both, now); !refused || m.Fingerprint != bad {
		t.Fatal("a request with a part that isn't probed is allowed")
	}
	alone := Attributes{Request: FingerprintOf("w", "x", []byte("2")), Parts: []Fingerprint{sound}}
	if _, refused := r.Match("w", alone, now); refused {
		t.Error("the request with the probed part alone isn't let through")
	}
	next := Attributes{Request: FingerprintOf("w", "x", []byte("3")), Parts: []Fingerprint{sound}}
	if _, refused := r.Match("w", next, now); !refused {
		t.Error("a second request is let through")
	}
}
