package tree

import (
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/settings/digest"
)

func set(p Path, key string, v Value) Change {
	return Change{Action: Set, Path: p, Key: key, Value: v}
}

// An edit sets a value that is valid on its own branch but not on a branch that
// inherits it, where callers would get errors. The edit must be refused; the
// problem names the inheriting branch and the branch that sets the value.
func TestEditInvalidOnABranchThatInherits(t *testing.T) {
	for name, c := range map[string]struct {
		change Change
		want   string
	}{
		"piece larger than a model's context": {
			set(RootPath, "piece-tokens", IntValue(100_000)),
			"/models/dossier-draft piece-tokens: piece-tokens 100000 (from /) is above context-tokens 65536 (from /models/dossier-draft)",
		},
		"outcome dropped while the caller waits": {
			set(RootPath, "ledger-keep", DurationValue(time.Hour)),
			`/workspaces/plant-tunja/services/issue-stamp deadline: deadline "2h" (from /workspaces/plant-tunja) is above ledger-keep "1h" (from /)`,
		},
		"no region for claims": {
			Change{Action: Unset, Path: RootPath, Key: "region"},
			"/workspaces/plant-tunja/services/issue-stamp: the service is non-idempotent",
		},
	} {
		a := load(t)
		a, _, err := a.Edit([]Change{set("/workspaces/plant-tunja", "deadline", DurationValue(2*time.Hour))})
		if err != nil {
			t.Fatal(err)
		}
		b, _, err := a.Edit([]Change{c.change})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
		if before, after := a.Build(1), b.Build(1); len(before.Workspaces) != len(after.Workspaces) || before.Fleet.WeightLoads != after.Fleet.WeightLoads {
			t.Errorf("%s: a refused edit changed the tree", name)
		}
	}
}

func TestCrossReferences(t *testing.T) {
	plant := Path("/workspaces/plant-tunja")
	taken := DigestsValue(digest.Of("secret"))
	for name, c := range map[string]struct {
		changes []Change
		want    string
	}{
		"unknown model":     {[]Change{{Action: Create, Path: plant.WithModel("dossier-drat")}}, "there is no model dossier-drat; the nearest one is dossier-draft"},
		"unknown service":   {[]Change{{Action: Create, Path: plant.WithService("issue-stam")}}, "there is no service issue-stam; the nearest one is issue-stamp"},
		"model in use":      {[]Change{{Action: Remove, Path: "/models/dossier-draft"}}, "/workspaces/plant-tunja/models/dossier-draft: there is no model"},
		"missing workspace": {[]Change{set("/workspaces/plant-tunga", "share", FloatValue(1))}, "the nearest one is named plant-tunja"},
		"key of another workspace": {
			[]Change{{Action: Create, Path: "/workspaces/b"}, set("/workspaces/b", "key-digests", DigestsValue(load(t).workspaceKey()))},
			"is already a key digest of /workspaces/",
		},
		"operator's key is a workspace's": {[]Change{set(plant, "key-digests", taken), set("/operators/ana", "key-digests", taken)}, "is already a key digest of /operators/ana"},
		"operator without a key":          {[]Change{{Action: Create, Path: "/operators/b"}}, "/operators/b key-digests: an operator has at least one key"},
		"model without a version":         {[]Change{{Action: Unset, Path: "/models/dossier-draft", Key: "weight-version"}}, "weight-version: is required"},
		"root removed":                    {[]Change{{Action: Remove, Path: RootPath}}, "the root can't be removed"},
		"unsorted digests":                {[]Change{set(plant, "key-digests", Value{Type: Digests, Digests: []digest.Digest{{2}, {1}}})}, "must be sorted"},
		"path out of form":                {[]Change{{Action: Create, Path: "/models/../x"}}, "not a path of a branch"},
	} {
		_, _, err := load(t).Edit(c.changes)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}

func (t Tree) workspaceKey() digest.Digest {
	v, _ := t.Value("/workspaces/plant-tunja", "key-digests")
	return v.Digests[0]
}
