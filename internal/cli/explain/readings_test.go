package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against causes of readings, whose remedies differ, being counted as one.
func TestReadings(t *testing.T) {
	f, err := os.Open(filepath.Join("testdata", "readings.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := ReadReadings(ReadingsConfig{Step: 2 * time.Second, News: 2 * time.Second}, f)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := s.Write(&got); err != nil {
		t.Fatal(err)
	}
	golden(t, "readings", got.String())
}
