// Package origin holds how streams began, so that each continues only at servers with the software that began it.
//
// Control replicas keep the origins, because callers may resume a stream at any entry. An entry records the origin
// of each stream at two replicas before its caller gets the first event, and asks all of them when a caller resumes.
package origin
