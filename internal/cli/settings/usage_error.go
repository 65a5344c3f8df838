package settings

import "fmt"

// UsageError reports an invalid flag or argument.
type UsageError struct {
	// Flag names the flag or argument.
	Flag string
	// Message describes the error in one sentence.
	Message string
}

// Error returns the flag and the message.
func (e UsageError) Error() string {
	return fmt.Sprintf("%s: %s", e.Flag, e.Message)
}

func usage(flag, format string, args ...any) error {
	return UsageError{Flag: flag, Message: fmt.Sprintf(format, args...)}
}
