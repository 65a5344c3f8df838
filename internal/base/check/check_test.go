package check

import (
	"strings"
	"testing"
)

func TestNamesAndIDs(t *testing.T) {
	const most = 64
	long := strings.Repeat("x", most)
	for _, x := range []struct {
		text     string
		name, id bool
	}{
		{"i-7f3a91c2", true, true},
		{long, true, true},
		{"Zürich 2", true, false},
		{"two words", true, false},
		{"", false, false},
		{long + "x", false, false},
		{"a\xffb", false, false},
		{"a\ufffdb", false, false},
		{"a\nb", false, false},
		{"a\x00b", false, false},
		{"a\u202eb", false, false},
	} {
		if got := Name("name", x.text, most) == nil; got != x.name {
			t.Errorf("%q is a name: %v", x.text, got)
		}
		if got := ID("id", x.text, most) == nil; got != x.id {
			t.Errorf("%q is an ID: %v", x.text, got)
		}
	}
}

func TestAddresses(t *testing.T) {
	for text, want := range map[string]bool{
		"10.128.0.9:8080": true, "127.0.0.1:1": true, "[2001:db8::1]:65535": true, "169.254.1.1:80": true,
		"10.128.0.9:0": false, "10.128.0.9:70000": false, "10.128.0.9:99999999999999999999": false, "10.128.0.9": false, "host:80": false,
		"0.0.0.0:80": false, "224.0.0.1:80": false, "255.255.255.255:80": false, "[fe80::1%eth0]:80": false, "": false,
	} {
		if got := Address("address", text) == nil; got != want {
			t.Errorf("%q is an address: %v", text, got)
		}
	}
}
