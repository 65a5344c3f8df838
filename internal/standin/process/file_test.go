package process

import (
	"path/filepath"
	"testing"
)

// Files may omit rates, as the example files do. An engine with rate zero would
// accept requests and never complete one.
func TestExampleFilesHaveSpeeds(t *testing.T) {
	all, err := filepath.Glob("../../../examples/*/standins/*.toml")
	if err != nil || len(all) == 0 {
		t.Fatalf("no example files: %v", err)
	}
	for _, p := range all {
		f, err := Load(p)
		if err != nil {
			t.Errorf("%s: %v", p, err)
		}
		f = f.withDefaults()
		if f.Identity == "" || f.Engine.PrefillRate <= 0 || f.Engine.DecodeRate <= 0 || f.Engine.MaxRunning <= 0 || f.Store.LinkRate <= 0 {
			t.Errorf("%s: %+v", p, f)
		}
	}
}

// Values in a file override the defaults.
func TestFileOverridesDefaults(t *testing.T) {
	f := File{Engine: EngineFile{PrefillRate: 7, MaxRunning: 3}, Store: StoreFile{LinkRate: 9}}.withDefaults()
	if f.Engine.PrefillRate != 7 || f.Engine.MaxRunning != 3 || f.Store.LinkRate != 9 {
		t.Errorf("%+v", f)
	}
}
