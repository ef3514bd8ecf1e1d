package sycqueue_test

import "flag"

// init fixes rapid's seed, so that the random cases are the same in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.nofailfile", "true")
}
