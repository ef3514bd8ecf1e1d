//go:build !race

package sycversion_test

// maxSites limits the sites that run at a time.
const maxSites = 4
