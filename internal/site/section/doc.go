// Package section is the section of the control log's state that holds the operator's
// document and the target versions of model weights.
package section
