// Package section is the part of the control log that holds the operator's
// document and the named versions of model weights.
package section
