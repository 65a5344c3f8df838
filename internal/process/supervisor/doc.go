// Package supervisor keeps a process serving after errors that a restart can mend, and reports why it failed.
package supervisor
