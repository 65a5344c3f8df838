// Package comparison runs the policy and the baselines on the same requests and
// writes tables and plots.
package comparison
