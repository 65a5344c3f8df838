package salt

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"hornbeamwood/internal/site/document"
)

// maxFormerMembers bounds the members that the document no longer names.
const maxFormerMembers = 1024

// Sharing is the text that the workspaces share that aren't isolated, and whose KV cache may be under it. It is immutable.
//
// KV cache outlives the setting that allowed to share it. When a workspace becomes isolated, engines and stores still
// hold what its requests have made, so the others need another text. A workspace that the document no longer names
// may return as an isolated one.
type Sharing struct {
	// Text is empty for the first text, else the revision of the document with which it began.
	Text string `cbor:"text"`
	// Members are the names of the workspaces whose KV cache may be under the text, sorted.
	Members []string `cbor:"members"`
}

// NewSharing returns the Sharing with a text that begins with d.
func NewSharing(d document.Document) Sharing {
	return Sharing{Text: strconv.FormatInt(d.Revision, 10), Members: sharingWorkspaces(d)}
}

// WithDocument returns the Sharing once d is in force.
func (s Sharing) WithDocument(d document.Document) Sharing {
	now := sharingWorkspaces(d)
	members := slices.Compact(slices.Sorted(slices.Values(slices.Concat(s.Members, now))))
	isolated := false
	for _, w := range d.Workspaces {
		_, member := slices.BinarySearch(s.Members, w.Name)
		isolated = isolated || w.Isolated && member
	}
	if isolated || len(members)-len(now) > maxFormerMembers {
		return NewSharing(d)
	}
	return Sharing{Text: s.Text, Members: members}
}

// sharingWorkspaces returns the names of the workspaces that aren't isolated, sorted.
func sharingWorkspaces(d document.Document) []string {
	sharing := map[string]bool{}
	for _, w := range d.Workspaces {
		already, known := sharing[w.Name]
		sharing[w.Name] = !w.Isolated && (already || !known)
	}
	maps.DeleteFunc(sharing, func(_ string, shares bool) bool { return !shares })
	return slices.Sorted(maps.Keys(sharing))
}

// Older returns whether the text of a Sharing began before another one.
func Older(text, than string) bool {
	return begin(text) < begin(than)
}

// begin returns the revision with which a text began, the lowest one for the first text.
func begin(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return math.MinInt64
	}
	return n
}
