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

// parser stores a text in its destination and reports whether it is allowed.
type parser func(text string) bool

func text(to *string) parser {
	return func(v string) bool {
		*to = v
		return v != ""
	}
}

func optionalText(to *string) parser {
	return func(v string) bool {
		*to = v
		return true
	}
}

func file(to *string) parser {
	return func(v string) bool {
		*to = v
		if v == "" {
			return true
		}
		info, err := os.Stat(v)
		return err == nil && info.Mode().IsRegular()
	}
}

func address(to *netip.AddrPort) parser {
	return func(v string) bool {
		a, err := netip.ParseAddrPort(v)
		*to = a
		return err == nil && !a.Addr().IsUnspecified()
	}
}

func optionalAddress(to *netip.AddrPort) parser {
	required := address(to)
	return func(v string) bool { return v == "" || required(v) }
}

func httpURL(to *string, optional bool) parser {
	return func(v string) bool {
		*to = strings.TrimRight(v, "/")
		if v == "" {
			return optional
		}
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	}
}

func oneOf(to *string, choices ...string) parser {
	return func(v string) bool {
		*to = v
		return slices.Contains(choices, v)
	}
}

func boolean(to *bool) parser {
	return func(v string) bool {
		b, err := strconv.ParseBool(v)
		*to = b
		return err == nil
	}
}

func between(to *int64, low, high int64) parser {
	return func(v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*to = n
		return err == nil && n >= low && n <= high
	}
}

func span(to *time.Duration, low, high time.Duration) parser {
	return func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d >= low && d <= high
	}
}

func fraction(to *float64) parser {
	return func(v string) bool {
		x, err := strconv.ParseFloat(v, 64)
		*to = x
		return err == nil && !math.IsNaN(x) && x >= 0 && x <= 1
	}
}

func addresses(to *[]string) parser {
	return func(v string) bool {
		*to = nil
		for _, part := range strings.Split(v, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if _, err := netip.ParseAddrPort(part); err != nil {
				return false
			}
			*to = append(*to, part)
		}
		return true
	}
}

func number(to *float64, low, high float64) parser {
	return func(v string) bool {
		x, err := strconv.ParseFloat(v, 64)
		*to = x
		return err == nil && x >= low && x <= high
	}
}
