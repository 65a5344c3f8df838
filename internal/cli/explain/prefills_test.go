package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Causes of prefill have different remedies; this guards against counting them as one.
func TestReadings(t *testing.T) {
	f, err := os.Open(filepath.Join("testdata", "readings.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := ReadPrefills(PrefillsConfig{Step: 2 * time.Second, UpdateDelay: 2 * time.Second}, f)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := s.Write(&got); err != nil {
		t.Fatal(err)
	}
	golden(t, "readings", got.String())
}
