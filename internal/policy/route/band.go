package route

// Bands is the number of priorities that are told apart.
const Bands = 8

// Band returns the band of a priority; priorities outside 0 to Bands-1 count as the nearest.
func Band(priority int) int {
	return min(max(priority, 0), Bands-1)
}
