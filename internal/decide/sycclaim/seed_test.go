package sycclaim_test

import "flag"

// The random cases are the same in every run.
func init() {
	flag.Set("rapid.seed", "20261204")
	flag.Set("rapid.nofailfile", "true")
}
