package sycslot_test

import "flag"

// The fixed seed makes rapid draw the same cases in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.nofailfile", "true")
}
