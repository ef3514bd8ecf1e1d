package main

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// pairs is a flag of the form name=value that may be given several times.
type pairs map[string]string

// String returns the pairs as they are given on the command line.
func (p pairs) String() string {
	if len(p) == 0 {
		return ""
	}
	return fmt.Sprint(map[string]string(p))
}

// Set adds a pair.
func (p pairs) Set(text string) error {
	name, value, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return eris.Errorf("%q isn't of the form name=value", text)
	}
	p[name] = value
	return nil
}
