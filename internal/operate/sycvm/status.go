package sycvm

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/peer/sycstate"
	"sycamorecart.example/sycamorecart/internal/traffic/sycadmit"
	"sycamorecart.example/sycamorecart/internal/traffic/sycversion"
)

// Status is the VM's state as the operators' listener shows it.
type Status struct {
	// Address is the address that other VMs reach the VM at, which is its ID.
	Address string `json:"address"`
	// Incarnation is a random ID that the VM chose when it started.
	Incarnation string `json:"incarnation"`
	// FailureDomain is the VM's failure domain.
	FailureDomain string `json:"failure_domain"`
	// Ready reports whether the VM can serve requests.
	Ready bool `json:"ready"`
	// Why is the reason why the VM isn't ready.
	Why string `json:"why,omitempty"`
	// Requests is the number of callers' running requests.
	Requests int64 `json:"requests"`
	// Applied maps the name of each stream to the offset after the last applied record.
	Applied map[string]uint64 `json:"applied"`
	// Streams show how the VM follows the streams of the log.
	Streams []sycstate.StreamStatus `json:"streams"`
	// Members are the other VMs that have replied recently.
	Members []MemberStatus `json:"members"`
	// Endpoints are all endpoints, by name.
	Endpoints []EndpointStatus `json:"endpoints"`
	// Leading is set if the VM holds the lease to lead rollouts.
	Leading bool `json:"leads_rollouts"`
	// Rollouts are the rollouts of model versions that are neither done nor rolled back.
	Rollouts []sycversion.Status `json:"rollouts"`
	// Shares shows the fraction of every customer's rate that accrues on the VM.
	Shares sycadmit.Status `json:"shares"`
}

// MemberStatus is another VM's state, from its last reply to this VM.
type MemberStatus struct {
	// Address is the other VM's address.
	Address string `json:"address"`
	// FailureDomain is the other VM's failure domain.
	FailureDomain string `json:"failure_domain"`
	// Leaving is set if the other VM is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Applied maps the name of each stream to the offset after the last record that the
	// other VM has applied.
	Applied map[string]uint64 `json:"applied"`
}

// EndpointStatus is an endpoint's state as this VM knows it.
type EndpointStatus struct {
	// Name is the endpoint's name.
	Name string `json:"name"`
	// Health is one of the states of package sychealth, such as "healthy" or "out".
	Health string `json:"health"`
	// Reason is why the endpoint's health is in this state.
	Reason string `json:"reason,omitempty"`
	// InFlight is the number of this VM's requests at the endpoint.
	InFlight int `json:"in_flight"`
	// Load estimates the number of all VMs' requests at the endpoint.
	Load int `json:"load"`
	// Prefill estimates the time that the endpoint needs for the prompt tokens that it
	// still has to compute.
	Prefill sycrecord.Duration `json:"prefill"`
	// TokensPerSecond is the estimated prefill speed, in prompt tokens per second.
	TokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// Blocks is the number of prompt blocks that the endpoint is believed to have cached.
	Blocks int `json:"index_blocks"`
	// Synced is set if no cache event was missed since the last complete list of blocks.
	Synced bool `json:"index_synced"`
}

// Status returns the VM's current state. It must not be called on the control loop.
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
		Shares:        v.limiter.Status(),
	}
}

// applied maps the names of the streams to the given offsets.
func applied(config, system uint64) map[string]uint64 {
	return map[string]uint64{sycstate.ConfigStream: config, sycstate.SystemStream: system}
}

// members returns the status of the other VMs that have replied recently.
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

// endpoints returns the status of all endpoints.
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
