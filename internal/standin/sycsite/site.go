// Package sycsite runs a whole deployment in one process on free loopback
// ports: the platform's stand-in, engines, services, a KV store and VMs.
package sycsite

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
	"sycamorecart.example/sycamorecart/internal/operate/sycstate"
	"sycamorecart.example/sycamorecart/internal/operate/sycvm"
	"sycamorecart.example/sycamorecart/internal/platform/syclog"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/syckvstore"
	"sycamorecart.example/sycamorecart/internal/standin/sycload"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
	"sycamorecart.example/sycamorecart/internal/standin/sycservice"
)

const (
	// Model is the model that every engine serves.
	Model = "chat"
	// BookPath is the path of the booking service, whose calls may not be repeated.
	BookPath   = "/bookings/book"
	bookPrefix = "/bookings"
	// startTimeout bounds the wait for a VM to be ready.
	startTimeout = 10 * time.Second
)

// Options describe a site.
type Options struct {
	Workload sycload.Workload
	// Settings are added to each VM's settings file.
	Settings string
	// Speed is the factor by which engines run faster than their model of time.
	Speed float64
	Seed  uint64
}

// Site is a running deployment.
type Site struct {
	options  Options
	platform *sycplatform.Platform
	log      *syclog.Client
	kv       *syckvstore.Store
	engines  []Engine
	services []*sycservice.Service
	keys     map[string]string

	mu  sync.Mutex
	vms []*sycvm.VM
}

// Engine is an engine of the site.
type Engine struct {
	*sycengine.Engine
	name          string
	failureDomain string
	fencing       bool
}

// Name is the engine's endpoint name.
func (e Engine) Name() string { return e.name }

// FailureDomain is where the engine runs.
func (e Engine) FailureDomain() string { return e.failureDomain }

// New starts a site, publishes its records and waits until every VM is ready.
func New(ctx context.Context, o Options) (*Site, error) {
	s := &Site{options: o, keys: map[string]string{}}
	for _, c := range o.Workload.Customers() {
		s.keys[c.Name()] = fmt.Sprintf("secret-%s-%d", c.Name(), o.Seed)
	}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startEndpoints(); err != nil {
		return err
	}
	for _, d := range s.options.Workload.Domains() {
		for range d.VMs() {
			if _, err := s.StartVM(d.Name(), "127.0.0.1:0"); err != nil {
				return err
			}
		}
	}
	if err := s.Publish(ctx, s.records()...); err != nil {
		return err
	}
	return s.WaitReady(ctx)
}

func (s *Site) startPlatform() error {
	platform, err := sycplatform.New(sycplatform.Options{})
	if err != nil {
		return eris.Wrap(err, "site")
	}
	s.platform = platform
	s.log = syclog.New(syclog.Options{Address: platform.URL()})
	s.kv, err = syckvstore.New(syckvstore.Options{})
	return eris.Wrap(err, "site")
}

func (s *Site) startEndpoints() error {
	for _, d := range s.options.Workload.Domains() {
		for i := range d.Engines() {
			fencing := i%2 == 0
			engine, err := sycengine.New(sycengine.Options{
				Platform:      s.platform.URL(),
				Models:        map[string]string{Model: "w1"},
				ChecksFencing: fencing,
				Speed:         s.options.Speed,
				Seed:          s.options.Seed + uint64(len(s.engines)),
			})
			if err != nil {
				return eris.Wrap(err, "site")
			}
			s.engines = append(s.engines, Engine{
				Engine:        engine,
				name:          fmt.Sprintf("engine-%s-%d", d.Name(), i+1),
				failureDomain: d.Name(),
				fencing:       fencing,
			})
		}
	}
	for range s.options.Workload.Services() {
		service, err := sycservice.New(sycservice.Options{})
		if err != nil {
			return eris.Wrap(err, "site")
		}
		s.services = append(s.services, service)
	}
	return nil
}

// StartVM starts a VM in a failure domain with the given peer address.
func (s *Site) StartVM(failureDomain, address string) (*sycvm.VM, error) {
	settings, err := sycsetting.Parse("site", fmt.Appendf(nil, `
[vm]
failure_domain = %s
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = %s
[platform]
log = %s
list = %s
list_lag = 1s
[drain]
settle = 200ms
%s`, failureDomain, address, s.platform.URL(), s.platform.URL(), s.options.Settings))
	if err != nil {
		return nil, eris.Wrap(err, "site")
	}
	vm, err := sycvm.New(settings)
	if err != nil {
		return nil, eris.Wrap(err, "site")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vm)
	return vm, nil
}

// KillVM stops a VM at once; the platform's list learns of it.
func (s *Site) KillVM(vm *sycvm.VM) error {
	s.mu.Lock()
	for i, v := range s.vms {
		if v == vm {
			s.vms = append(s.vms[:i:i], s.vms[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	err := vm.Close()
	s.platform.RemoveVM(vm.Address())
	return err
}

// VMs lists the running VMs.
func (s *Site) VMs() []*sycvm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*sycvm.VM{}, s.vms...)
}

// Routers lists the base URLs of the running VMs for callers.
func (s *Site) Routers() []string {
	var urls []string
	for _, vm := range s.VMs() {
		urls = append(urls, "http://"+vm.Callers())
	}
	return urls
}

// Keys gives the secret of each customer's key.
func (s *Site) Keys() map[string]string { return s.keys }

// Engines lists the engines.
func (s *Site) Engines() []Engine { return s.engines }

// Services lists the booking services.
func (s *Site) Services() []*sycservice.Service { return s.services }

// Platform is the platform's stand-in.
func (s *Site) Platform() *sycplatform.Platform { return s.platform }

// Booked lists the slots that the services booked, once for each booking.
func (s *Site) Booked() []string {
	var slots []string
	for _, service := range s.services {
		for _, b := range service.Bookings() {
			slots = append(slots, b.Slot)
		}
	}
	return slots
}

// Record is an object to publish.
type Record struct {
	Kind   sycrecord.Kind
	Name   string
	Fields any
}

// Publish appends put operations to the config stream.
func (s *Site) Publish(ctx context.Context, records ...Record) error {
	entries := make([]syclog.Entry, 0, len(records))
	for _, r := range records {
		spec, err := json.Marshal(r.Fields)
		if err != nil {
			return eris.Wrapf(err, "record %s %s", r.Kind, r.Name)
		}
		id := fmt.Sprintf("site-%s-%s-%d", r.Kind, r.Name, time.Now().UnixNano())
		data, err := json.Marshal(sycrecord.Operation{
			Schema: sycrecord.NewestSchema,
			ID:     id,
			Verb:   sycrecord.Put,
			Kind:   r.Kind,
			Name:   r.Name,
			Spec:   spec,
		})
		if err != nil {
			return eris.Wrapf(err, "record %s %s", r.Kind, r.Name)
		}
		entries = append(entries, syclog.Entry{ID: id, Data: data})
	}
	_, err := s.log.Append(ctx, sycstate.ConfigStream, entries...)
	return err
}

// WaitReady waits until every VM has applied the whole config stream.
func (s *Site) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	want := uint64(len(s.platform.Records(sycstate.ConfigStream)))
	for _, vm := range s.VMs() {
		for {
			ready, why := vm.Ready()
			if ready && vm.Status().Applied[sycstate.ConfigStream] >= want {
				break
			}
			select {
			case <-ctx.Done():
				return eris.Errorf("VM %s is not ready: %s", vm.Address(), why)
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close stops everything.
func (s *Site) Close() error {
	var err error
	for _, vm := range s.VMs() {
		err = errors.Join(err, vm.Close())
	}
	for _, e := range s.engines {
		err = errors.Join(err, e.Close())
	}
	for _, service := range s.services {
		err = errors.Join(err, service.Close())
	}
	if s.kv != nil {
		err = errors.Join(err, s.kv.Close())
	}
	if s.log != nil {
		err = errors.Join(err, s.log.Close())
	}
	if s.platform != nil {
		err = errors.Join(err, s.platform.Close())
	}
	return err
}

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Customers lists the customers' names.
func (s *Site) Customers() []string {
	var names []string
	for _, c := range s.options.Workload.Customers() {
		names = append(names, c.Name())
	}
	return names
}

// Outcomes lists the records of rollouts, oldest first.
func (s *Site) Outcomes() []sycrecord.Rollout {
	var list []sycrecord.Rollout
	for _, r := range s.platform.Records(sycstate.SystemStream) {
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

// Workload is the deployment that the site runs.
func (s *Site) Workload() sycload.Workload { return s.options.Workload }
