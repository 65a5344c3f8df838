package salt

import (
	"net/url"
	"strconv"
	"strings"
)

// separator separates the components of a salt. They are escaped, so that none contains it.
const separator = "/"

// Salt separates KV cache that must not be shared: of other weights, of isolated workspaces, and of workspaces that
// have become isolated.
type Salt struct {
	// Model and Version identify the weights.
	Model   string
	Version int64
	// Isolated is set if only one workspace uses the salt, and Workspace is its name.
	Isolated  bool
	Workspace string
	// Shared is the text of a Sharing, for a salt that isn't isolated.
	Shared string
}

// String returns the salt as engines and stores know it.
func (s Salt) String() string {
	text := url.PathEscape(s.Model) + separator + strconv.FormatInt(s.Version, 10)
	switch {
	case s.Isolated:
		text += separator + url.PathEscape(s.Workspace)
	case s.Shared != "":
		text += separator + separator + url.PathEscape(s.Shared)
	}
	return text
}

// Parse returns the salt that String has written, and false for any other text.
func Parse(text string) (Salt, bool) {
	fields := strings.Split(text, separator)
	if len(fields) < 2 || len(fields) > 4 || fields[0] == "" {
		return Salt{}, false
	}
	model, err := url.PathUnescape(fields[0])
	if err != nil {
		return Salt{}, false
	}
	version, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Salt{}, false
	}
	s := Salt{Model: model, Version: version, Isolated: len(fields) == 3}
	switch len(fields) {
	case 3:
		s.Workspace, err = url.PathUnescape(fields[2])
	case 4:
		s.Shared, err = url.PathUnescape(fields[3])
	}
	return s, err == nil && (len(fields) < 4 || fields[2] == "")
}

// OfAttempt returns a salt that one attempt of a workspace uses alone.
func OfAttempt(workspace, attempt string) string {
	return separator + url.PathEscape(workspace) + separator + url.PathEscape(attempt)
}
