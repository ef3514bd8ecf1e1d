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

// Put returns an operation that creates or replaces an object of the configuration.
// Its ID is left empty for Publish to set. It panics if fields can't be encoded as JSON.
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

// initialRecords returns the operations that publish the deployment's first
// configuration. It also makes up the secret of each customer's key.
func (d *Deployment) initialRecords() []sycrecord.Operation {
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

// endpointRecords returns the operations that put the endpoint records of all engines,
// workers and the KV store.
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

// EngineRecord returns the operation that puts an engine's endpoint record. With
// leaving set, the record tells the routers to send the engine no new requests.
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

// slotRecords returns the operations for the rate slots. Each failure domain gets the
// fraction of every customer's rate that DomainFraction returns, and each VM of the
// domain has a slot with an equal part of it.
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

// DomainFraction returns the fraction of every customer's rate that a failure domain
// may grant. It's proportional to the domain's number of VMs.
func (d *Deployment) DomainFraction(domain string) float64 {
	own := 0
	for _, r := range d.Routers() {
		if r.domain == domain {
			own++
		}
	}
	return float64(own) / float64(len(d.Routers()))
}

// ConfigEnd returns the offset after the last record of the configuration stream, or 0
// if the stream is empty.
func (d *Deployment) ConfigEnd() uint64 {
	records := d.platform.Records(configStream)
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Offset + 1
}

// logRecord is one record of an append to the platform's log.
type logRecord struct {
	ID   string              `json:"id"`
	Data sycrecord.Operation `json:"data"`
}

// appendBody is the JSON body of an append request to the platform's log.
type appendBody struct {
	Records []logRecord `json:"records"`
}

// appendResponse is the JSON body of the log's response to an append.
type appendResponse struct {
	// FirstOffset is the offset of the first appended record.
	FirstOffset uint64 `json:"first_offset"`
}

// Publish appends operations to the log's configuration stream in one request and
// returns the offset after the last of them. It sets the operations' IDs.
func (d *Deployment) Publish(ctx context.Context, operations ...sycrecord.Operation) (next uint64, err error) {
	var body appendBody
	for _, op := range operations {
		op.ID = fmt.Sprintf("deployment-%d-%d", d.options.Seed, d.publishCount.Add(1))
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
	var appended appendResponse
	if err := json.NewDecoder(response.Body).Decode(&appended); err != nil {
		return 0, eris.Wrap(err, "publish")
	}
	return appended.FirstOffset + uint64(len(operations)), nil
}

// RolloutRecords lists the rollout records in the log's system stream, oldest first.
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
