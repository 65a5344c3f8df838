// Package section is the section of the control log's state that holds the operator's
// document, the target versions of model weights, the evacuated availability zones and the
// versions of servers' software.
package section
