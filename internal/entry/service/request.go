package service

import (
	"net/http"

	"hornbeamwood/internal/settings/rules"
)

// Request is one caller's call of a plain service.
type Request struct {
	// ID is the request ID in the header Hornbeamwood-Request.
	ID string
	// Workspace is the caller's workspace.
	Workspace string
	// Service is the service's name.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path at the service with its query; it begins with a slash.
	Path string
	// Key is the caller's Idempotency-Key, empty for none.
	Key string
	// Header holds the caller's headers; only those that docs/interfaces/service.md lists are forwarded.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Rules are the workspace's rules for the service.
	Rules rules.Rules
}
