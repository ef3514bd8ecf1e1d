package main

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// pairs is the value of a repeatable flag of the form name=value: values by name.
type pairs map[string]string

// String implements flag.Value.
func (p pairs) String() string {
	if len(p) == 0 {
		return ""
	}
	return fmt.Sprint(map[string]string(p))
}

// Set implements flag.Value. It adds a pair, or replaces the value of a name.
func (p pairs) Set(text string) error {
	name, value, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return eris.Errorf("%q isn't of the form name=value", text)
	}
	p[name] = value
	return nil
}
