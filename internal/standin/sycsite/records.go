package sycsite

import (
	"fmt"

	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// records describes the site to its VMs.
func (s *Site) records() []Record {
	list := s.customerRecords()
	list = append(list,
		Record{sycrecord.KindRoute, "chat", sycrecord.RouteFields{Prefix: "/", Type: sycrecord.RouteModel}},
		Record{sycrecord.KindRoute, "booking", sycrecord.RouteFields{Prefix: bookPrefix, Type: sycrecord.RouteService, Service: "booking"}},
		Record{sycrecord.KindVersion, "first", sycrecord.VersionFields{Model: Model, Weights: "w1", Initial: true}},
	)
	list = append(list, s.endpointRecords()...)
	return append(list, s.slotRecords()...)
}

func (s *Site) customerRecords() []Record {
	var list []Record
	for _, c := range s.options.Workload.Customers() {
		list = append(list,
			Record{sycrecord.KindCustomer, c.Name(), sycrecord.CustomerFields{Rate: c.Rate(), Burst: c.Burst()}},
			Record{sycrecord.KindKey, c.Name() + "-key", sycrecord.KeyFields{Customer: c.Name(), SHA256: hash(s.keys[c.Name()])}},
		)
	}
	return list
}

func (s *Site) endpointRecords() []Record {
	var list []Record
	for _, e := range s.engines {
		list = append(list, Record{sycrecord.KindEndpoint, e.name, sycrecord.EndpointFields{
			Address:       e.URL(),
			FailureDomain: e.failureDomain,
			Type:          sycrecord.EndpointEngine,
			Models:        []string{Model},
			Fencing:       e.fencing,
		}})
	}
	domains := s.options.Workload.Domains()
	for i, service := range s.services {
		list = append(list, Record{sycrecord.KindEndpoint, fmt.Sprintf("service-%d", i+1), sycrecord.EndpointFields{
			Address:       service.URL(),
			FailureDomain: domains[i%len(domains)].Name(),
			Type:          sycrecord.EndpointService,
			Service:       "booking",
		}})
	}
	return append(list, Record{sycrecord.KindEndpoint, "kv-store", sycrecord.EndpointFields{
		Address:       s.kv.URL(),
		FailureDomain: domains[0].Name(),
		Type:          sycrecord.EndpointKVStore,
	}})
}

// slotRecords gives every VM an equal part of each customer's rate.
func (s *Site) slotRecords() []Record {
	byDomain := map[string][]string{}
	vms := s.VMs()
	for _, vm := range vms {
		domain := vm.Status().FailureDomain
		byDomain[domain] = append(byDomain[domain], vm.Address())
	}
	var list []Record
	for _, d := range s.options.Workload.Domains() {
		addresses := byDomain[d.Name()]
		table := sycrecord.SlotsFields{Share: float64(len(addresses)) / float64(len(vms))}
		for i, address := range addresses {
			table.Slots = append(table.Slots, sycrecord.SlotFields{
				Name:     fmt.Sprintf("%s-%d", d.Name(), i+1),
				Address:  address,
				Fraction: 1 / float64(len(addresses)),
			})
		}
		list = append(list, Record{sycrecord.KindSlots, d.Name(), table})
	}
	return list
}
