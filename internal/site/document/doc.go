// Package document defines the operator's complete description of a site: routes,
// services, stores, limits and workspaces under one increasing revision.
package document
