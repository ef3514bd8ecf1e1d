package sycfleet

import (
	"time"

	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycquota"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

// applyChanges applies changes of a topic.
func (f *Fleet) applyChanges(now time.Duration, topic string, changes []sycfeed.Change) {
	for _, c := range changes {
		switch topic {
		case TopicOperator:
			f.applyOperatorChange(now, c)
		case TopicEndpoints:
			f.applyEndpointChange(now, c)
		case TopicVMs:
			f.applyVMChange(now, c)
		case TopicStatus:
			f.applyStatusChange(c)
		}
	}
}

// applyOperatorChange applies a record that an operator has published or removed.
func (f *Fleet) applyOperatorChange(now time.Duration, c sycfeed.Change) {
	if domain, ok := f.options.Decoder.Evacuation(c.Key); ok {
		f.applyEvacuation(now, domain, c)
		return
	}
	if c.Deleted {
		return
	}
	record, err := f.options.Decoder.Operator(c.Key, c.Value)
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"key": c.Key, "position": c.Position}).Error("fleet: decoding an operator's record failed")
		return
	}
	switch r := record.(type) {
	case *sycsite.Config:
		f.offerConfig(now, r)
	case Weights:
		f.announceWeights(now, r)
	case Rollout:
		f.startRollout(now, r, c.Position)
	}
}

// applyUncertain applies operators' records that the log may hold from before what this VM knows. A
// version tells that of itself.
func (f *Fleet) applyUncertain(now time.Duration, records []sycfeed.Record) {
	for _, r := range records {
		if domain, ok := f.options.Decoder.Evacuation(r.Key); ok {
			f.applyUncertainEvacuation(now, domain, r)
			continue
		}
		record, err := f.options.Decoder.Operator(r.Key, r.Value)
		if err != nil {
			continue
		}
		switch r := record.(type) {
		case *sycsite.Config:
			f.offerConfig(now, r)
		case Weights:
			if r.Version > f.weights[r.Model] {
				f.announceWeights(now, r)
			}
		}
	}
}

// announceWeights applies an operator's request to load weights.
func (f *Fleet) announceWeights(now time.Duration, w Weights) {
	f.log.WithFields(logrus.Fields{"model": w.Model, "version": w.Version}).Info("fleet: new weights announced")
	if w.Version > f.weights[w.Model] {
		f.weights[w.Model] = w.Version
		f.updatedAt[weightsAge(w.Model)] = now
	}
	f.selector.AnnounceWeights(now, f.subscriptions[TopicOperator].changeTime(now), w.Model, w.Version)
}

// offerConfig puts a configuration in force, at once or once this VM has received the others'.
func (f *Fleet) offerConfig(now time.Duration, c *sycsite.Config) {
	if f.heldConfig == nil || f.heldConfig.Version() < c.Version() {
		f.heldConfig = c
	}
	if inForce := f.Config(); inForce == nil || inForce.Version() < f.heldConfig.Version() {
		f.nameServices(now, f.heldConfig)
	}
	f.releaseConfig(now)
}

// releaseConfig puts the held configuration in force, unless this VM has just started and may
// have read an older one than is in force elsewhere, since the log has been restored.
func (f *Fleet) releaseConfig(now time.Duration) {
	asks := f.subscriptions[TopicOperator].Asks(now) || f.subscriptions[TopicEndpoints].Asks(now)
	asks = asks && f.era > 0 && now-f.startedAt < startGrace
	if f.heldConfig == nil || asks {
		return
	}
	f.installConfig(now, f.heldConfig)
	f.heldConfig = nil
}

// installConfig puts a configuration in force unless one of its version or a newer one already
// is.
func (f *Fleet) installConfig(now time.Duration, c *sycsite.Config) {
	old := f.view.Load()
	if old.config != nil && old.config.Version() >= c.Version() {
		return
	}
	f.view.Store(newView(now, c))
	close(old.replaced)
	f.updatedAt[configAge] = now
	f.configureLimits(now)
	f.updateLimits(now)
	for _, s := range c.Services() {
		if s.Engine {
			f.selector.SetCacheTokens(s.Name, s.CacheTokens)
			f.selector.SetCacheTokenBytes(s.Name, s.CacheTokenBytes)
		}
		f.selector.SetColdLimit(now, s.Name, sycplace.ColdLimit{Start: s.ColdStart, Rate: s.ColdRate})
	}
	f.log.WithField("version", c.Version()).Info("fleet: configuration applied")
}

// configureLimits puts the customers' limits of the configuration in force.
func (f *Fleet) configureLimits(now time.Duration) {
	c := f.Config()
	if c == nil {
		return
	}
	var limits []sycquota.Limit
	for _, customer := range c.Customers() {
		limits = append(limits, sycquota.Limit{Customer: customer.Name, Rate: customer.Rate, Burst: customer.Burst})
	}
	f.quota.Configure(now, limits)
}
