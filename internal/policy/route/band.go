package route

// Bands is the number of distinct priority bands.
const Bands = 8

// Band returns the band of a priority. A priority outside 0 to Bands-1 is clamped to the nearest
// band.
func Band(priority int) int {
	return min(max(priority, 0), Bands-1)
}
