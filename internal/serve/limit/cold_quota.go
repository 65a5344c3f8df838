package limit

import "math"

// coldDeviations is how many standard deviations the requests of many entries in a second stay
// below what a cold server accepts. Each of them has a request to send at a random time.
const coldDeviations = 4.0

// coldQuota is how many requests a cold server accepts in any second.
type coldQuota float64

// entryRate implements quota.
//
// The number of requests that become due in a second, and of those that are kept from before it,
// varies like a Poisson distribution: with mean m it seldom exceeds m + coldDeviations * sqrt(m).
func (q coldQuota) entryRate(entries int) float64 {
	root := math.Sqrt(float64(q)+coldDeviations*coldDeviations/4) - coldDeviations/2
	return max(minRate, root*root/(1+burstWindow.Seconds())) / float64(max(1, entries))
}

// burst implements quota. Few entries may keep what the server accepts even if all of them
// send it in the same second.
func (q coldQuota) burst(entries int) float64 {
	rate := q.entryRate(entries)
	return max(rate*burstWindow.Seconds(), float64(q)/float64(max(1, entries))-1-rate)
}
