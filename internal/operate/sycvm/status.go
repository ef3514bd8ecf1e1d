package sycvm

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/traffic/sycadmit"
	"sycamorecart.example/sycamorecart/internal/traffic/sycversion"
)

// Status is what operators see of the VM.
type Status struct {
	Address       string `json:"address"`
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	Why           string `json:"why,omitempty"`
	// Requests counts the requests under way.
	Requests int64 `json:"requests"`
	// Applied maps streams to the offset after the last applied record.
	Applied   map[string]uint64       `json:"applied"`
	Streams   []sycstate.StreamStatus `json:"streams"`
	Members   []MemberStatus          `json:"members"`
	Endpoints []EndpointStatus        `json:"endpoints"`
	Leading   bool                    `json:"leads_rollouts"`
	Rollouts  []sycversion.Status     `json:"rollouts"`
	Shares    sycadmit.Shares         `json:"shares"`
}

// MemberStatus is what the VM has heard of another.
type MemberStatus struct {
	Address       string            `json:"address"`
	FailureDomain string            `json:"failure_domain"`
	Leaving       bool              `json:"leaving,omitempty"`
	Applied       map[string]uint64 `json:"applied"`
}

// EndpointStatus is the VM's view of an endpoint.
type EndpointStatus struct {
	Name   string `json:"name"`
	Health string `json:"health"`
	Reason string `json:"reason,omitempty"`
	// InFlight counts this VM's requests, Load estimates those of all VMs.
	InFlight int `json:"in_flight"`
	Load     int `json:"load"`
	// Prefill is the estimated time of the prefill under way.
	Prefill         sycrecord.Duration `json:"prefill"`
	TokensPerSecond float64            `json:"prefill_tokens_per_second"`
	Blocks          int                `json:"index_blocks"`
	Synced          bool               `json:"index_synced"`
}

// Status returns the VM's present state. It must not be called on the control loop.
func (v *VM) Status() Status {
	ready, why := v.Ready()
	rollouts, leading := v.versions.Rollouts()
	return Status{
		Address:       v.address,
		Incarnation:   v.incarnation,
		FailureDomain: v.settings.FailureDomain(),
		Ready:         ready,
		Why:           why,
		Requests:      v.drain.Active(),
		Applied:       applied(v.store.Applied()),
		Streams:       v.store.Status(),
		Members:       v.members(),
		Endpoints:     v.endpoints(),
		Leading:       leading,
		Rollouts:      rollouts,
		Shares:        v.limiter.Shares(),
	}
}

func applied(config, system uint64) map[string]uint64 {
	return map[string]uint64{sycstate.ConfigStream: config, sycstate.SystemStream: system}
}

func (v *VM) members() []MemberStatus {
	var list []MemberStatus
	v.loop.Do(func(now time.Duration) {
		for _, m := range v.roster.Live(now) {
			config, system, _ := m.Reported()
			list = append(list, MemberStatus{
				Address:       m.VM().Address,
				FailureDomain: m.VM().FailureDomain,
				Leaving:       m.VM().Leaving,
				Applied:       applied(config, system),
			})
		}
	})
	return list
}

func (v *VM) endpoints() []EndpointStatus {
	endpoints := v.chooser.Endpoints()
	list := make([]EndpointStatus, 0, len(endpoints))
	for _, e := range endpoints {
		list = append(list, EndpointStatus{
			Name:            e.Name,
			Health:          string(e.Health),
			Reason:          e.Reason,
			InFlight:        e.InFlight,
			Load:            e.Load,
			Prefill:         sycrecord.Duration(e.Prefill),
			TokensPerSecond: e.TokensPerSecond,
			Blocks:          e.Blocks,
			Synced:          e.Synced,
		})
	}
	return list
}
