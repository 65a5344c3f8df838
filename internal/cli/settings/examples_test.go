package settings

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"hornbeamwood/internal/load/workload"
	"hornbeamwood/internal/settings/rules"
	"hornbeamwood/internal/settings/tree"
)

const examples = "../../../examples"

// An example that the code no longer accepts would mislead an operator who starts
// from it.
func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range []string{"certilote", "association"} {
		files, err := filepath.Glob(filepath.Join(examples, deployment, "nodes", "*.toml"))
		if err != nil {
			t.Fatal(err)
		}
		if len(files) != 9 {
			t.Errorf("%s has %d node files, not 3 control replicas and 6 entries", deployment, len(files))
		}
		for _, f := range append(files, filepath.Join(examples, deployment, "tree.toml")) {
			if err := Check(Config{File: f}, io.Discard); err != nil {
				t.Error(err)
			}
		}
	}
}

// The measured workloads use the rules of their classes. An example tree with
// different rules would not give an operator the measured service.
func TestExampleTreesHaveTheRulesThatAreMeasured(t *testing.T) {
	for _, d := range []workload.Deployment{workload.Certilote(), workload.Association()} {
		s := exampleSnapshot(t, d.Name)
		if len(s.Workspaces) != len(d.Workspaces) {
			t.Errorf("%s has %d workspaces", d.Name, len(s.Workspaces))
		}
		for _, sender := range d.Workspaces {
			for _, class := range d.Classes {
				w := s.Workspaces[sender.Name]
				got := w.Models[class.Name]
				if class.Service != "" {
					got = w.Services[class.Service]
				}
				checkRules(t, d.Name+" "+sender.Name+" "+class.Name, got, class.Rules)
			}
		}
		for _, m := range s.Models {
			if m.PieceTokens != d.PieceTokens {
				t.Errorf("%s: pieces of %d tokens", m.Name, m.PieceTokens)
			}
		}
	}
}

func exampleSnapshot(t *testing.T, deployment string) rules.Snapshot {
	t.Helper()
	file := filepath.Join(examples, deployment, "tree.toml")
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	example, err := CheckTree(file, b)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(example.Paths(tree.RootPath)); got < 40 {
		t.Errorf("%s has %d branches", deployment, got)
	}
	return example.Build(1)
}

// checkRules compares the rules of the tree with those that a class states.
func checkRules(t *testing.T, name string, got, want rules.Rules) {
	t.Helper()
	if got.Priority != want.Priority || got.Deadline != want.Deadline || got.Worth != want.Worth || got.NonIdempotent != want.NonIdempotent {
		t.Errorf("%s: got %+v, want %+v", name, got, want)
	}
	if got.FirstTokenPrice != want.FirstTokenPrice || got.CacheExport != want.CacheExport {
		t.Errorf("%s: got %+v, want %+v", name, got, want)
	}
	if want.RecomputePrice != 0 && (got.RecomputePrice != want.RecomputePrice || got.LinkPrice != want.LinkPrice) {
		t.Errorf("%s: got %+v, want %+v", name, got, want)
	}
}
