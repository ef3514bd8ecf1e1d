package sycprefix_test

import "flag"

// A fixed seed makes the random cases of rapid the same in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.nofailfile", "true")
}
