package sycdeploy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
)

// Put returns an operation that puts an object; its id is given by Publish.
func Put(kind sycrecord.Kind, name string, fields any) sycrecord.Operation {
	spec, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return sycrecord.Operation{
		Schema: sycrecord.NewestSchema,
		Verb:   sycrecord.Put,
		Kind:   kind,
		Name:   name,
		Spec:   spec,
	}
}

// records are those of the deployment's first configuration.
func (d *Deployment) records() []sycrecord.Operation {
	var list []sycrecord.Operation
	for _, c := range d.options.Workload.Customers() {
		secret := fmt.Sprintf("secret-of-%s-%d", c.Name(), d.options.Seed)
		d.keys[c.Name()] = secret
		hash := sha256.Sum256([]byte(secret))
		list = append(
			list,
			Put(sycrecord.KindCustomer, c.Name(), sycrecord.CustomerFields{Rate: c.Rate(), Burst: c.Burst()}),
			Put(sycrecord.KindKey, "key-"+c.Name(), sycrecord.KeyFields{Customer: c.Name(), SHA256: hex.EncodeToString(hash[:])}),
		)
	}
	list = append(list, d.endpointRecords()...)
	list = append(
		list,
		Put(sycrecord.KindVersion, Model+"-"+Weights, sycrecord.VersionFields{Model: Model, Weights: Weights, Initial: true}),
		Put(sycrecord.KindRoute, "models", sycrecord.RouteFields{Prefix: "/", Type: sycrecord.RouteModel}),
		Put(sycrecord.KindRoute, Service, sycrecord.RouteFields{
			Prefix:  "/" + Service,
			Type:    sycrecord.RouteService,
			Service: Service,
		}),
	)
	return append(list, d.slotRecords()...)
}

func (d *Deployment) endpointRecords() []sycrecord.Operation {
	var list []sycrecord.Operation
	for _, e := range d.engines {
		list = append(list, d.EngineRecord(e, false))
	}
	for _, w := range d.workers {
		list = append(list, Put(sycrecord.KindEndpoint, w.name, sycrecord.EndpointFields{
			Address:       w.proxy.URL(),
			FailureDomain: w.domain,
			Type:          sycrecord.EndpointService,
			Service:       Service,
		}))
	}
	return append(list, Put(sycrecord.KindEndpoint, "kv-store", sycrecord.EndpointFields{
		Address:       d.store.URL(),
		FailureDomain: d.options.Workload.Domains()[0].Name(),
		Type:          sycrecord.EndpointKVStore,
	}))
}

// EngineRecord returns the record of an engine, as it stays or leaves.
func (d *Deployment) EngineRecord(e *Engine, leaving bool) sycrecord.Operation {
	return Put(sycrecord.KindEndpoint, e.name, sycrecord.EndpointFields{
		Address:       e.proxy.URL(),
		FailureDomain: e.domain,
		Type:          sycrecord.EndpointEngine,
		Models:        []string{Model},
		ChecksFencing: d.options.Engine.ChecksFencing,
		Leaving:       leaving,
	})
}

// slotRecords gives each failure domain a share by its number of VMs and each
// of its VMs an equal fraction.
func (d *Deployment) slotRecords() []sycrecord.Operation {
	var list []sycrecord.Operation
	for _, domain := range d.options.Workload.Domains() {
		fields := sycrecord.SlotsFields{Share: d.DomainFraction(domain.Name())}
		for _, r := range d.Routers() {
			if r.domain == domain.Name() {
				fields.Slots = append(fields.Slots, sycrecord.SlotFields{
					Name:     r.name,
					Address:  r.PeerAddress(),
					Fraction: 1 / float64(domain.VMs()),
				})
			}
		}
		list = append(list, Put(sycrecord.KindSlots, domain.Name(), fields))
	}
	return list
}

// DomainFraction is a failure domain's part of every customer's rate.
func (d *Deployment) DomainFraction(domain string) float64 {
	own := 0
	for _, r := range d.Routers() {
		if r.domain == domain {
			own++
		}
	}
	return float64(own) / float64(len(d.Routers()))
}

// ConfigEnd is the offset after the last record that operators published.
func (d *Deployment) ConfigEnd() uint64 {
	records := d.platform.Records(configStream)
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Offset + 1
}

type logRecord struct {
	ID   string              `json:"id"`
	Data sycrecord.Operation `json:"data"`
}

type appendBody struct {
	Records []logRecord `json:"records"`
}

type appendAnswer struct {
	FirstOffset uint64 `json:"first_offset"`
}

// Publish appends operations to the platform's log in one call and returns the
// offset after them.
func (d *Deployment) Publish(ctx context.Context, operations ...sycrecord.Operation) (next uint64, err error) {
	var body appendBody
	for _, op := range operations {
		op.ID = fmt.Sprintf("deployment-%d-%d", d.options.Seed, d.published.Add(1))
		body.Records = append(body.Records, logRecord{ID: op.ID, Data: op})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return 0, eris.Wrap(err, "publish")
	}
	address := d.platform.URL() + "/v1/log/config"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrap(err, "publish")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "publish")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, eris.Errorf("publish: %s", response.Status)
	}
	var answer appendAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return 0, eris.Wrap(err, "publish")
	}
	return answer.FirstOffset + uint64(len(operations)), nil
}

// RolloutRecords lists the records of rollouts in the system stream, oldest first.
func (d *Deployment) RolloutRecords() []sycrecord.Rollout {
	var list []sycrecord.Rollout
	for _, r := range d.platform.Records(systemStream) {
		var op sycrecord.Operation
		var fields sycrecord.RolloutFields
		if json.Unmarshal(r.Data, &op) != nil || op.Kind != sycrecord.KindRollout {
			continue
		}
		if json.Unmarshal(op.Spec, &fields) == nil {
			list = append(list, sycrecord.NewRollout(op.Name, fields))
		}
	}
	return list
}
