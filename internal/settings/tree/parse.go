package tree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hornbeamwood/internal/settings/tomlfile"
)

// Subtree is a branch and its descendants as given in a file or a request.
type Subtree struct {
	// Path is the path of the root of the subtree.
	Path Path
	// Branches are all branches, parents first.
	Branches []Branch
	// Unset are the settings that the text removes from their branches, by null in JSON.
	Unset []Change
	// Lines maps labels of branches and settings to line numbers; empty for JSON.
	Lines map[string]int
}

// Replace returns the change that replaces the branch and its descendants with s.
func (s Subtree) Replace() Change {
	return Change{Action: Replace, Path: s.Path, Branches: s.Branches}
}

// Merge returns the changes that set the values in s and unset those that s unsets; all other values stay.
func (s Subtree) Merge() []Change {
	var all []Change
	for _, b := range s.Branches {
		for _, a := range b.Values {
			all = append(all, Change{Action: Set, Path: b.Path, Key: a.Key, Value: a.Value})
		}
	}
	return append(all, s.Unset...)
}

// Locate returns a copy of problems with file and, where known, the lines of their keys.
func (s Subtree) Locate(file string, problems tomlfile.Problems) tomlfile.Problems {
	located := slices.Clone(problems)
	for i, p := range located {
		located[i].File = file
		if p.Line == 0 {
			located[i].Line = s.line(p.Key)
		}
	}
	return located
}

func (s Subtree) line(label string) int {
	if n, ok := s.Lines[label]; ok {
		return n
	}
	path, _, _ := strings.Cut(label, " ")
	return s.Lines[path]
}

// ParseTOML parses a TOML text as branch p and its descendants. An error is of type tomlfile.Problems.
func ParseTOML(p Path, file string, data []byte) (Subtree, error) {
	if err := tomlfile.CheckChildren(file, data); err != nil {
		return Subtree{}, err
	}
	var d map[string]any
	if err := toml.Unmarshal(data, &d); err != nil {
		return Subtree{}, tomlProblems(file, err)
	}
	r := newReader(p, file)
	r.lines = tomlfile.LinesOf(data)
	r.branch(p, "", d)
	return r.result()
}

func tomlProblems(file string, err error) tomlfile.Problems {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return tomlfile.Problems{{File: file, Message: err.Error()}}
	}
	line, _ := decodeErr.Position()
	return tomlfile.Problems{{
		File:    file,
		Line:    line,
		Key:     strings.Join(decodeErr.Key(), "."),
		Message: strings.TrimPrefix(decodeErr.Error(), "toml: "),
	}}
}

// ParseJSON parses a JSON text as branch p and its descendants; null unsets a setting.
// An error is of type tomlfile.Problems.
func ParseJSON(p Path, data []byte) (Subtree, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var top map[string]any
	err := d.Decode(&top)
	if err == nil {
		_, err = d.Token()
		if err == nil {
			err = errors.New("text after the end of the JSON object")
		}
	}
	if !errors.Is(err, io.EOF) || top == nil {
		return Subtree{}, tomlfile.Problems{{Message: fmt.Sprintf("not one JSON object: %v", err)}}
	}
	r := newReader(p, "")
	r.branch(p, "", top)
	return r.result()
}

// maxProblems is how many problems of a text are looked for.
const maxProblems = 1024

// reader converts the nested form of a text to branches.
type reader struct {
	file     string
	lines    tomlfile.Lines
	subtree  Subtree
	problems tomlfile.Problems
}

func newReader(p Path, file string) *reader {
	return &reader{file: file, subtree: Subtree{Path: p, Lines: map[string]int{}}}
}

func (r *reader) result() (Subtree, error) {
	if err := r.problems.Err(); err != nil {
		return Subtree{}, err
	}
	return r.subtree, nil
}

func (r *reader) add(dotted string, p Path, key, message string) {
	r.problems = append(r.problems, tomlfile.Problem{
		File:    r.file,
		Line:    r.lines.Of(dotted),
		Key:     Label(p, key),
		Message: message,
	})
}

// isFull returns whether there are so many problems that the rest of the text isn't read.
func (r *reader) isFull() bool {
	return len(r.problems) >= maxProblems
}

// branch reads the table d, whose dotted key is prefix, as branch p.
func (r *reader) branch(p Path, prefix string, d map[string]any) {
	b := Branch{Path: p}
	r.subtree.Lines[Label(p, "")] = r.lines.Of(prefix)
	i := len(r.subtree.Branches)
	r.subtree.Branches = append(r.subtree.Branches, b)
	k := p.Kind()
	for _, key := range slices.Sorted(maps.Keys(d)) {
		if r.isFull() {
			break
		}
		dotted := joinKey(prefix, key)
		if _, ok := collections[k][key]; ok {
			r.table(p, key, dotted, d[key])
			continue
		}
		if k == Root && key == fleetTable {
			r.childBranch(FleetPath, dotted, d[key])
			continue
		}
		if a, ok := r.assignment(p, key, dotted, d[key]); ok {
			b.Values = append(b.Values, a)
		}
	}
	r.subtree.Branches[i] = b
}

// table reads the child branches of p in one table.
func (r *reader) table(p Path, table, dotted string, x any) {
	d, ok := x.(map[string]any)
	if !ok {
		r.add(dotted, p, table, "a table is expected")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d)) {
		if r.isFull() {
			return
		}
		if err := checkName(name); err != nil {
			r.add(joinKey(dotted, name), p, table, err.Error())
			continue
		}
		r.childBranch(Path(strings.TrimSuffix(string(p), "/")+"/"+table+"/"+name), joinKey(dotted, name), d[name])
	}
}

func (r *reader) childBranch(p Path, dotted string, x any) {
	d, ok := x.(map[string]any)
	if !ok {
		r.add(dotted, p, "", "a table is expected")
		return
	}
	r.branch(p, dotted, d)
}

func (r *reader) assignment(p Path, key, dotted string, x any) (Assignment, bool) {
	s, err := Lookup(p.Kind(), key)
	if err != nil {
		r.add(dotted, p, key, err.Error())
		return Assignment{}, false
	}
	if x == nil {
		r.subtree.Unset = append(r.subtree.Unset, Change{Action: Unset, Path: p, Key: key})
		return Assignment{}, false
	}
	v, err := ParseValue(s.Type(), x)
	if err == nil {
		err = s.check(v)
	}
	if err != nil {
		r.add(dotted, p, key, err.Error())
		return Assignment{}, false
	}
	r.subtree.Lines[Label(p, key)] = r.lines.Of(dotted)
	return Assignment{Key: key, Value: v}, true
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}
