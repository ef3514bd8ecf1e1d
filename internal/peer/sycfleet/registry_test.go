package sycfleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/decide/sycsite"
)

// plainDecoder decodes records of endpoints that are sycplace.Endpoint as JSON.
type plainDecoder struct{ Decoder }

func (plainDecoder) Endpoint(key string, value []byte) (sycplace.Endpoint, error) {
	var e sycplace.Endpoint
	err := json.Unmarshal(value, &e)
	e.ID = key
	return e, err
}

// servicesConfig returns a configuration that names services.
func servicesConfig(t *testing.T, version int64, names ...string) *sycsite.Config {
	t.Helper()
	fields := sycsite.Fields{Version: version}
	for _, name := range names {
		fields.Services = append(fields.Services, sycsite.Service{Name: name})
	}
	c, err := sycsite.New(fields)
	must.NoError(t, err)
	return c
}

// TestRecordsOfUnnamedServicesEndNoEndpoint guards against records of a service that no configuration names, with the
// addresses of endpoints and a later start, that take these out of use for requests and orders.
func TestRecordsOfUnnamedServicesEndNoEndpoint(t *testing.T) {
	worker := sycplace.Endpoint{ID: "w", Service: "app", Address: "10.0.0.1:80", Slots: 6, Incarnation: 1}
	unnamed := sycplace.Endpoint{ID: "m", Service: "metrics", Address: "10.0.0.1:80", Slots: 6, Incarnation: 2}
	tests := []struct {
		name string
		// steps are records and the versions of configurations, in their order.
		steps []any
		// runs is set if the worker must be in use at the end.
		runs bool
	}{
		{"after the configuration", []any{1, worker, unnamed}, true},
		{"before the configuration", []any{unnamed, worker, 1}, true},
		{"the service is named later", []any{1, worker, unnamed, 2}, false},
		{"and is removed again", []any{1, worker, unnamed, 2, 3}, true},
		{"the worker's service is removed", []any{1, worker, 4}, false},
		{"and added again", []any{1, worker, 4, 5}, true},
	}
	versions := map[int][]string{1: {"app"}, 2: {"app", "metrics"}, 3: {"app"}, 4: {"metrics"}, 5: {"app"}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newNetwork(t, 1).vms[0]
			f.options.Decoder = plainDecoder{}
			now := f.startedAt + time.Minute
			for i, s := range tt.steps {
				if version, ok := s.(int); ok {
					f.offerConfig(now, servicesConfig(t, int64(version), versions[version]...))
					continue
				}
				e := s.(sycplace.Endpoint)
				value, err := json.Marshal(e)
				must.NoError(t, err)
				f.applyChanges(now, TopicEndpoints, []sycfeed.Change{{Record: sycfeed.Record{Key: e.ID, Value: value, Position: sycfeed.Position{Offset: int64(i)}}}})
			}
			must.Eq(t, tt.runs, f.selector.Runs("w"))
			_, refusal := f.selector.Select(now, &sycplace.Request{ID: 1, Service: "app", Remaining: time.Minute})
			must.Eq(t, tt.runs, refusal == nil)
		})
	}
}
