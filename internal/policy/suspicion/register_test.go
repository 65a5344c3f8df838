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
