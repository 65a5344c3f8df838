package main

// numbering returns the number of the nth event of a stream; n begins at 1.
type numbering func(n int) int

// numberings are the ways in which the servers of a service number events.
var numberings = []numbering{
	func(n int) int { return n },
	func(n int) int { return n - 1 },
	func(n int) int { return 2 * n },
	// 1, 2, 5, 6, 9, 10 and so on.
	func(n int) int { return (n-1)/2*4 + 1 + (n-1)%2 },
}

// after returns the first event whose number is higher than the given one.
func (f numbering) after(number int) int {
	n := 1
	for f(n) <= number {
		n++
	}
	return n
}
