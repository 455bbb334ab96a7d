package bounds

import (
	"net"
	"net/netip"
	"regexp"
	"strconv"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// MaxNameBytes bounds the names and addresses that come from outside the process.
const MaxNameBytes = 255

// hostPattern matches host names and IP addresses.
var hostPattern = regexp.MustCompile(`^[0-9A-Za-z][0-9A-Za-z.:%_-]*$`)

// CheckName returns an error that names the field unless the name is valid UTF-8 of 1 to
// MaxNameBytes. A name that is not breaks each link on which it is sent.
func CheckName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return eris.Errorf("%s has %d bytes, expected 1 to %d", field, len(name), MaxNameBytes)
	}
	if !utf8.ValidString(name) {
		return eris.Errorf("%s is not UTF-8", field)
	}
	return nil
}

// CheckHostPort returns an error that names the field unless address is a host and a port
// that can be dialled.
func CheckHostPort(field, address string) error {
	if err := CheckName(field, address); err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || (!hostPattern.MatchString(host) && !isIP(host)) {
		return eris.Errorf("%s is %q, expected a host and a port", field, address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return eris.Errorf("%s is %q, expected a port from 1 to 65535", field, address)
	}
	return nil
}

func isIP(host string) bool {
	_, err := netip.ParseAddr(host)
	return err == nil
}

// CheckIPPort returns an error that names the field unless address is the IP address of a
// host and a port from 1 to 65535.
func CheckIPPort(field, address string) error {
	if err := CheckName(field, address); err != nil {
		return err
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return eris.Errorf("%s is %q, expected the IP address of a host and a port from 1 to 65535", field, address)
	}
	return nil
}
