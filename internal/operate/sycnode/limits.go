package sycnode

import (
	"cmp"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/traffic/syccallers"
)

const (
	// connectionsPerMB is the number of callers' connections for each MB of the VM's memory limit. Each holds up to
	// freeHeaderBytes of syccallers for its header beside its buffers.
	connectionsPerMB = 4
	// headerFraction is the fraction of the memory limit that the headers of requests may take, beside those of an
	// ordinary size.
	headerFraction = 1.0 / 16
	// otherDescriptors is the number of descriptors that aren't for callers' connections or the endpoint's
	// connections of their requests.
	otherDescriptors = 200
	// minConnections is the least limit on callers' connections, whatever the limit on descriptors.
	minConnections = 16
)

// maxConnections returns the limit on callers' connections of a VM with a memory limit in MB. It leaves a
// descriptor for each connection's request to an endpoint.
func maxConnections(memory int64) int {
	limit := connectionsPerMB * memory
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil && files.Cur < 1<<30 {
		limit = min(limit, (int64(files.Cur)-otherDescriptors)/2)
	}
	return int(max(limit, minConnections))
}

// callerLimits returns the limits on callers' connections under a configuration, which may be nil, on a VM with a
// memory limit in MB.
func callerLimits(c *sycsite.Config, memory int64) syccallers.Limits {
	var limits sycsite.Limits
	if c != nil {
		limits = c.Limits()
	}
	return syccallers.Limits{
		Idle: cmp.Or(limits.IdleTime, idleTimeout), Header: cmp.Or(limits.HeaderTime, headerTimeout), Connections: maxConnections(memory),
		HeaderBytes: int64(headerFraction * float64(memory*bytesPerMB)),
	}
}

// followLimits applies the limits of each configuration that comes into force to callers' connections, until
// the node is closed.
func (n *Node) followLimits() error {
	old := callerLimits(nil, n.options.Settings.Memory)
	for {
		config, replaced := n.options.Fleet.WatchConfig()
		if limits := callerLimits(config, n.options.Settings.Memory); limits != old {
			idle, over := n.callers.SetLimits(limits)
			n.log.WithFields(logrus.Fields{
				"config": config.Version(), "idle_before": old.Idle.String(), "idle": limits.Idle.String(),
				"header_before": old.Header.String(), "header": limits.Header.String(), "idle_connections": idle, "over": over,
			}).Info("node: limits on callers' connections changed")
			old = limits
		}
		select {
		case <-replaced:
		case <-n.tomb.Dying():
			return nil
		}
	}
}
