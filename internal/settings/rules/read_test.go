package rules_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"hornbeamwood/internal/settings/rules"
)

const (
	module    = "hornbeamwood/internal/"
	rulesPath = module + "settings/rules"
)

// nonServing are the areas whose code does not serve requests: the settings
// themselves, the stand-ins, the load generator and the command line.
var nonServing = []string{"settings", "standin", "load", "cli"}

// readBySettings are the fields that only code of the settings reads. Control
// replicas get the admitted replicas from the section, and the revision is
// returned by the entry's copy.
var readBySettings = map[string]bool{"Fleet.AdmittedReplicas": true, "Snapshot.Revision": true}

// goPackage is a package in the output of go list.
type goPackage struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
}

// A setting that no serving code reads is shown to operators, accepted and
// explained, but has no effect.
func TestEachRuleIsReadByServingCode(t *testing.T) {
	read := fieldsRead(t)
	for _, r := range []reflect.Type{
		reflect.TypeFor[rules.Rules](), reflect.TypeFor[rules.Fleet](), reflect.TypeFor[rules.Model](),
		reflect.TypeFor[rules.Workspace](), reflect.TypeFor[rules.Snapshot](),
	} {
		for i := range r.NumField() {
			name := r.Name() + "." + r.Field(i).Name
			if !readBySettings[name] && !read[name] {
				t.Errorf("no serving code reads %s", name)
			}
		}
	}
}

// fieldsRead returns the fields of this package's types that serving code reads.
func fieldsRead(t *testing.T) map[string]bool {
	t.Helper()
	all := list(t)
	exports := map[string]string{}
	for _, p := range all {
		exports[p.ImportPath] = p.Export
	}
	read := map[string]bool{}
	for _, p := range all {
		if serves(p.ImportPath) {
			addFieldsRead(t, p, exports, read)
		}
	}
	return read
}

func list(t *testing.T) []goPackage {
	t.Helper()
	c := exec.Command("go", "list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles", module+"...")
	out, err := c.Output()
	if err != nil {
		t.Fatal(err)
	}
	var all []goPackage
	for d := json.NewDecoder(bytes.NewReader(out)); ; {
		var p goPackage
		if err := d.Decode(&p); errors.Is(err, io.EOF) {
			return all
		} else if err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
	}
}

func serves(path string) bool {
	rest, ours := strings.CutPrefix(path, module)
	area, _, _ := strings.Cut(rest, "/")
	for _, a := range nonServing {
		ours = ours && area != a
	}
	return ours
}

// addFieldsRead adds the fields that package p selects to read.
func addFieldsRead(t *testing.T, p goPackage, exports map[string]string, read map[string]bool) {
	t.Helper()
	set := token.NewFileSet()
	var files []*ast.File
	for _, name := range p.GoFiles {
		f, err := parser.ParseFile(set, filepath.Join(p.Dir, name), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	open := func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) }
	info := &types.Info{Selections: map[*ast.SelectorExpr]*types.Selection{}}
	config := types.Config{Importer: importer.ForCompiler(set, "gc", open)}
	if _, err := config.Check(p.ImportPath, set, files, info); err != nil {
		t.Fatal(err)
	}
	for _, s := range info.Selections {
		if f := s.Obj(); s.Kind() == types.FieldVal && f.Pkg() != nil && f.Pkg().Path() == rulesPath {
			read[typeName(s.Recv())+"."+f.Name()] = true
		}
	}
}

// typeName returns the name of the type whose field is selected.
func typeName(t types.Type) string {
	if p, ok := t.(*types.Pointer); ok {
		t = p.Elem()
	}
	if n, ok := t.(*types.Named); ok {
		return n.Obj().Name()
	}
	return ""
}
