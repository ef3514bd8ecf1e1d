package sycconfig_test

import "flag"

// A fixed seed makes the random test cases the same in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.nofailfile", "true")
}
