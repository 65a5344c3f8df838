// Package service is a stand-in for a plain service. It serves idempotent reads and
// non-idempotent calls, and counts each execution.
package service
