package route

// Config says how a policy is put together.
type Config struct {
	// Elements are the parts of the policy; nil means DefaultElements.
	Elements []Prioritized
	// Without names elements to leave out, for a comparison.
	Without []string
	// Name is the strategy's name; empty means "hornbeamwood".
	Name string
}

// reserveDelay is what a request that is not urgent must gain to use a reserve server, in seconds.
const reserveDelay = 2.0

// DefaultElements returns the parts of the policy with their places.
func DefaultElements() []Prioritized {
	return []Prioritized{
		{Element: suspects{}, Priority: 10},
		{Element: reportedQueue{}, Priority: 100},
		{Element: workInFlight{}, Priority: 110},
		{Element: priorities{}, Priority: 120},
		{Element: headRoom{delay: reserveDelay}, Priority: 210},
		{Element: linkBacklog{}, Priority: 215},
		{Element: engineMemory{}, Priority: 300},
		{Element: pieceMix{}, Priority: 310},
	}
}
