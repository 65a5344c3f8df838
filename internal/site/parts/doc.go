// Package parts keeps where pieces of prompts lie: whole in stores, as the
// control replicas tell, and probably in the memory of engines, as this entry
// remembers from what it sent there.
package parts
