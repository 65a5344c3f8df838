package explain

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// After an incident an engineer asks which requests were lost, when and why. The
// logs alone must distinguish each way of losing a request.
func TestLosses(t *testing.T) {
	f, err := os.Open(filepath.Join("testdata", "losses.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := ReadLosses(LossesConfig{
		Target: time.Second, EventGap: 500 * time.Millisecond, Step: 2 * time.Second,
		Targets: map[string]time.Duration{"status": 100 * time.Millisecond},
	}, f)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := s.Write(&got); err != nil {
		t.Fatal(err)
	}
	golden(t, "losses", got.String())
}
