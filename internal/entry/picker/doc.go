// Package picker chooses the backend server for one call of a plain service.
package picker
