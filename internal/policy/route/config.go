package route

// Config configures a policy.
type Config struct {
	// Elements are the elements of the policy; nil means DefaultElements.
	Elements []Prioritized
	// Without lists the names of elements to leave out, for an ablation.
	Without []string
	// Name is the strategy's name; empty means "hornbeamwood".
	Name string
}

// reserveMinGain is the time in seconds that a request that is not urgent must save to use a
// reserve server.
const reserveMinGain = 2.0

// DefaultElements returns the elements of the policy with their priorities.
func DefaultElements() []Prioritized {
	return []Prioritized{
		{Element: suspects{}, Priority: 10},
		{Element: reportedQueue{}, Priority: 100},
		{Element: workInFlight{}, Priority: 110},
		{Element: priorities{}, Priority: 120},
		{Element: headroom{minGain: reserveMinGain}, Priority: 210},
		{Element: linkBacklog{}, Priority: 215},
		{Element: engineMemory{}, Priority: 300},
		{Element: pieceMix{}, Priority: 310},
	}
}
