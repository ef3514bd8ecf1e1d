//go:build race

package sycversion_test

// maxSites limits the sites that run at a time. Under the race detector a site uses more than
// half of a core, and on a machine without spare cores good versions look slow.
const maxSites = 2
