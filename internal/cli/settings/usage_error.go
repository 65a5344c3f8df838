package settings

import "fmt"

// UsageError is a mistake in a flag or an argument.
type UsageError struct {
	// Flag names the flag or argument.
	Flag string
	// Message is one sentence.
	Message string
}

// Error names the flag.
func (e UsageError) Error() string {
	return fmt.Sprintf("%s: %s", e.Flag, e.Message)
}

func usage(flag, format string, args ...any) error {
	return UsageError{Flag: flag, Message: fmt.Sprintf(format, args...)}
}
