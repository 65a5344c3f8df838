package limit

import "math"

// coldDeviations is how many standard deviations the requests of many entries in a second stay
// below what a cold server accepts. Each of them has a request to send at a random time.
const coldDeviations = 4.0

// meanBelow returns the mean number of events in a second so that there are seldom more than most.
// Their number varies like a Poisson distribution: with mean m it seldom exceeds m + deviations * sqrt(m).
func meanBelow(most, deviations float64) float64 {
	root := math.Sqrt(most+deviations*deviations/4) - deviations/2
	return root * root
}

// coldQuota is how many requests a cold server accepts in any second.
type coldQuota float64

// entryRate implements quota.
//
// The requests that become due in a second, and those that are kept from before it, are counted.
func (q coldQuota) entryRate(entries int) float64 {
	return max(minRate, meanBelow(float64(q), coldDeviations)/(1+burstWindow.Seconds())) / float64(max(1, entries))
}

// burst implements quota. Few entries may keep what the server accepts even if all of them
// send it in the same second.
func (q coldQuota) burst(entries int) float64 {
	rate := q.entryRate(entries)
	return max(rate*burstWindow.Seconds(), float64(q)/float64(max(1, entries))-1-rate)
}
