package service

import "context"

// Picker chooses the server for one dispatch.
type Picker interface {
	// Pick returns a server whose identity is not in excluded; its error is a verdict.Error.
	Pick(ctx context.Context, r Request, excluded []string) (Server, error)
}

// Server is one backend server that runs a service.
type Server struct {
	// Identity is the server's identity.
	Identity string
	// Address is its IP and port.
	Address string
}
