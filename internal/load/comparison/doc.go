// Package comparison measures the policy and the baselines with the same requests and
// writes tables and plots.
package comparison
