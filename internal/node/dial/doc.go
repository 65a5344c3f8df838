// Package dial connects to backend servers on the path that works: directly, or in a tunnel through another entry.
package dial
