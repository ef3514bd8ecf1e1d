package sycdeploy

import (
	"fmt"

	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/syckvstore"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

// startStandIns starts the platform, the engines, the workers and the KV store.
func (d *Deployment) startStandIns() error {
	steps := []func() error{d.startPlatform, d.startEngines, d.startWorkers, d.startStore}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform starts the platform and the proxy that routers reach it through.
func (d *Deployment) startPlatform() error {
	platform, err := sycplatform.New(d.options.Platform)
	if err != nil {
		return err
	}
	d.platform = platform
	d.onClose(platform.Close)
	d.platformProxy, err = d.newProxy(platform.Address(), "")
	return err
}

// startEngines starts each failure domain's engines with their proxies. The seeds of
// the engines differ.
func (d *Deployment) startEngines() error {
	o := d.options.Engine
	o.Models = map[string]string{Model: Weights}
	o.Platform = d.platform.URL()
	for _, domain := range d.options.Workload.Domains() {
		for i := range domain.Engines() {
			o.Seed = d.options.Seed + uint64(len(d.engines))
			engine, err := sycengine.New(o)
			if err != nil {
				return err
			}
			d.onClose(engine.Close)
			proxy, err := d.newProxy(engine.Address(), domain.Name())
			if err != nil {
				return err
			}
			name := fmt.Sprintf("engine-%s-%d", domain.Name(), i+1)
			d.engines = append(d.engines, &Engine{engine, name, domain.Name(), proxy})
		}
	}
	return nil
}

// startWorkers starts the workers with their proxies, spread over the failure domains
// in turn.
func (d *Deployment) startWorkers() error {
	domains := d.options.Workload.Domains()
	for i := range d.options.Workload.Services() {
		service, err := sycservice.New(sycservice.Options{})
		if err != nil {
			return err
		}
		d.onClose(service.Close)
		domain := domains[i%len(domains)].Name()
		proxy, err := d.newProxy(service.Address(), domain)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("service-%s-%d", domain, i+1)
		d.workers = append(d.workers, &Worker{service, name, domain, proxy})
	}
	return nil
}

// startStore starts the KV store. Routers reach it without a proxy.
func (d *Deployment) startStore() error {
	store, err := syckvstore.New(syckvstore.Options{})
	if err != nil {
		return err
	}
	d.store = store
	d.onClose(store.Close)
	return nil
}
