package check

import (
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"
)

// Name returns an error that begins with kind unless s is a name: 1 to most bytes of UTF-8 without control characters.
func Name(kind, s string, most int) error {
	switch {
	case s == "":
		return fmt.Errorf("%s is missing", kind)
	case len(s) > most:
		return fmt.Errorf("%s has %d bytes, at most %d are allowed", kind, len(s), most)
	case !utf8.ValidString(s):
		return fmt.Errorf("%s %q is not UTF-8", kind, s)
	}
	for _, r := range s {
		// JSON decoders put the replacement character in place of bytes that aren't UTF-8.
		if !unicode.IsPrint(r) || r == utf8.RuneError {
			return fmt.Errorf("%s %q has the character %U, which can't be printed", kind, s, r)
		}
	}
	return nil
}

// ID returns an error that begins with kind unless s is an ID: 1 to most printable ASCII characters without spaces.
func ID(kind, s string, most int) error {
	if err := Name(kind, s, most); err != nil {
		return err
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return fmt.Errorf("%s %q has characters other than printable ASCII without spaces", kind, s)
		}
	}
	return nil
}

// Address returns an error that begins with kind unless s is the IP and port of one VM.
func Address(kind, s string) error {
	p, err := netip.ParseAddrPort(s)
	if err != nil || p.Port() == 0 || p.Addr().Zone() != "" {
		return fmt.Errorf("%s %q is not an IP and a port", kind, s)
	}
	if a := p.Addr(); !a.IsGlobalUnicast() && !a.IsLoopback() && !a.IsLinkLocalUnicast() {
		return fmt.Errorf("%s %q is not that of one VM", kind, s)
	}
	return nil
}
