package sycsetting

import (
	"math"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// parser parses the text of a setting, stores the value in its destination and reports
// whether the value is allowed.
type parser func(text string) bool

// text accepts any text but the empty one.
func text(dst *string) parser {
	return func(v string) bool {
		*dst = v
		return v != ""
	}
}

// optionalText accepts any text.
func optionalText(dst *string) parser {
	return func(v string) bool {
		*dst = v
		return true
	}
}

// file accepts the path of an existing regular file, or nothing.
func file(dst *string) parser {
	return func(v string) bool {
		*dst = v
		if v == "" {
			return true
		}
		info, err := os.Stat(v)
		return err == nil && info.Mode().IsRegular()
	}
}

// address accepts an IP address and port, but not the unspecified address.
func address(dst *netip.AddrPort) parser {
	return func(v string) bool {
		a, err := netip.ParseAddrPort(v)
		*dst = a
		return err == nil && !a.Addr().IsUnspecified()
	}
}

// optionalAddress accepts what address accepts, or nothing.
func optionalAddress(dst *netip.AddrPort) parser {
	required := address(dst)
	return func(v string) bool { return v == "" || required(v) }
}

// httpURL accepts an http or https URL, and nothing if optional is set. It stores the URL
// without slashes at its end.
func httpURL(dst *string, optional bool) parser {
	return func(v string) bool {
		*dst = strings.TrimRight(v, "/")
		if v == "" {
			return optional
		}
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}
}

// oneOf accepts one of the choices.
func oneOf(dst *string, choices ...string) parser {
	return func(v string) bool {
		*dst = v
		return slices.Contains(choices, v)
	}
}

// boolean accepts true or false in the forms of strconv.ParseBool.
func boolean(dst *bool) parser {
	return func(v string) bool {
		b, err := strconv.ParseBool(v)
		*dst = b
		return err == nil
	}
}

// integer accepts an integer from low to high.
func integer(dst *int64, low, high int64) parser {
	return func(v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*dst = n
		return err == nil && n >= low && n <= high
	}
}

// duration accepts a duration from low to high, in the form of time.ParseDuration.
func duration(dst *time.Duration, low, high time.Duration) parser {
	return func(v string) bool {
		d, err := time.ParseDuration(v)
		*dst = d
		return err == nil && d >= low && d <= high
	}
}

// fraction accepts a number from 0 to 1.
func fraction(dst *float64) parser {
	return func(v string) bool {
		x, err := strconv.ParseFloat(v, 64)
		*dst = x
		return err == nil && !math.IsNaN(x) && x >= 0 && x <= 1
	}
}

// addresses accepts a list of IP addresses and ports, separated by commas.
func addresses(dst *[]string) parser {
	return func(v string) bool {
		*dst = nil
		for _, part := range strings.Split(v, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if _, err := netip.ParseAddrPort(part); err != nil {
				return false
			}
			*dst = append(*dst, part)
		}
		return true
	}
}

// number accepts a number from low to high.
func number(dst *float64, low, high float64) parser {
	return func(v string) bool {
		x, err := strconv.ParseFloat(v, 64)
		*dst = x
		return err == nil && x >= low && x <= high
	}
}
