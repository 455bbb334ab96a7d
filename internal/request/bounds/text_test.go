package bounds

import (
	"strings"
	"testing"
)

func TestAddressesThatCannotBeDialledAreInvalid(t *testing.T) {
	for _, c := range []struct {
		address          string
		hostPort, ipPort bool
	}{
		{"10.0.0.1:80", true, true},
		{"[::1]:65535", true, true},
		{"[fe80::1%eth0]:80", true, true},
		{"host-1.example:80", true, false},
		{"0.0.0.0:80", true, false},
		{"[ff02::1]:80", true, false},
		{"10.0.0.1:0", false, false},
		{"10.0.0.1:-1", false, false},
		{"10.0.0.1:65536", false, false},
		{"10.0.0.1:99999", false, false},
		{"10.0.0.1:18446744073709551617", false, false},
		{"10.0.0.1:http", false, false},
		{"10.0.0.1:8e1", false, false},
		{"10.0.0.1", false, false},
		{":80", false, false},
		{"", false, false},
		{"a b:80", false, false},
		{"x@10.0.0.1:80", false, false},
		{"10.0.0.1:80/x", false, false},
		{"\xff:80", false, false},
		{strings.Repeat("a", 300) + ":80", false, false},
	} {
		if err := CheckHostPort("address", c.address); (err == nil) != c.hostPort {
			t.Errorf("host and port %.40q: %v", c.address, err)
		}
		if err := CheckIPPort("address", c.address); (err == nil) != c.ipPort {
			t.Errorf("IP address and port %.40q: %v", c.address, err)
		}
	}
}

func TestNamesThatBreakLinksAreInvalid(t *testing.T) {
	for _, name := range []string{"", "\xff", strings.Repeat("a", MaxNameBytes+1)} {
		if CheckName("name", name) == nil {
			t.Errorf("%.40q is valid", name)
		}
	}
	if err := CheckName("name", strings.Repeat("a", MaxNameBytes)); err != nil {
		t.Error(err)
	}
}
