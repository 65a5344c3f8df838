package tunnel

import (
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/node/rpc"
)

// request asks another entry for a connection to a server.
type request struct {
	// Server is the server's ID, Address its IP and port.
	Server  string `cbor:"server"`
	Address string `cbor:"address"`
}

// connected is the answer of an entry that has connected.
type connected struct{}

// open opens a stream whose bytes are those of a connection to a server.
var open = rpc.Method[request, connected]{
	Name:  "tunnel-open",
	Roles: []keys.Role{keys.Entry},
}

// requestedBackoff says that a server requested a backoff in response to a request that came through the receiver.
type requestedBackoff struct {
	// Server is the server's ID.
	Server string `cbor:"server"`
	// For is how long the server wants no requests.
	For time.Duration `cbor:"for"`
}

var backoffNotice = rpc.Notice[requestedBackoff]{
	Name:  "tunnel-backoff",
	Roles: []keys.Role{keys.Entry},
}

// The codes of an entry that didn't connect. With those besides the first two it didn't try.
const (
	codeRefused     = "server-refused"
	codeUnreachable = "server-unreachable"
	codeUnknown     = "server-unknown"
	codeBackoff     = "server-backoff"
	codeCutOff      = "cut-off"
	codeStopping    = "stopping"
	codeBusy        = "busy"
)

// declined returns the error of an entry that didn't connect to the server.
func declined(code, server string) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, code, "no connection to %s", server)
}
