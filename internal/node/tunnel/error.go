package tunnel

import "errors"

var (
	// ErrRefused means that the other entry's connection was refused: no process listens at the server's address.
	ErrRefused = errors.New("tunnel: the connection was refused")
	// ErrUnreachable means that the other entry couldn't connect to the server either.
	ErrUnreachable = errors.New("tunnel: the server is unreachable from the other entry too")
	// ErrNoPeer means that no other entry could be asked, which says nothing about the server.
	ErrNoPeer = errors.New("tunnel: no other entry answered")
)
