package sycnode

import (
	"cmp"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
	"sycamorecart.example/sycamorecart/internal/traffic/syccallers"
)

// callerLimits returns the limits on callers' connections under a configuration, which may be nil.
func callerLimits(c *sycsite.Config) syccallers.Limits {
	var limits sycsite.Limits
	if c != nil {
		limits = c.Limits()
	}
	return syccallers.Limits{Idle: cmp.Or(limits.IdleTime, idleTimeout), Header: cmp.Or(limits.HeaderTime, headerTimeout)}
}

// followLimits applies the limits of each configuration that comes into force to callers' connections, until
// the node is closed.
func (n *Node) followLimits() error {
	old := callerLimits(nil)
	for {
		config, replaced := n.options.Fleet.WatchConfig()
		if limits := callerLimits(config); limits != old {
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
