// Package document is the operator's complete description of a site: routes,
// services, stores, limits and workspaces under one rising number.
package document
