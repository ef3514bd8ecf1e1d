// Package sycplatform is an in-memory stand-in for the platform on which the router runs.
// It serves the platform's three services over HTTP: a log of records, a list of VMs and a
// store of model weights. Tests can inject faults into each of them.
package sycplatform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// Options configures a platform. Rates and sizes that are 0 take their defaults.
type Options struct {
	// Address is the host:port to listen on. The default is a free loopback port.
	Address string
	// Listener accepts the connections in place of a listener on Address, if it is set.
	Listener net.Listener
	// RetainAge is the maximum age of the records in a log stream; 0 for no limit.
	RetainAge time.Duration
	// RetainCount is the maximum number of records in a log stream; 0 for no limit.
	RetainCount int
	// AppendsPerSecond limits the append calls of all streams together; an append call
	// may carry several records.
	AppendsPerSecond float64
	// ListLag is how old the state is that reads of the VM list return.
	ListLag time.Duration
	// StoreBytesPerSecond limits all downloads from the weight store together.
	StoreBytesPerSecond int
	// Weights holds the sizes of the store's listed weights in bytes, by name.
	Weights map[string]int64
	// OtherWeights is the size in bytes of weights that aren't listed; below 0 they don't
	// exist.
	OtherWeights int64
}

// Defaults of the options. Each is used if the option of that name is 0.
const (
	// DefaultAppendsPerSecond is the default limit of append calls a second.
	DefaultAppendsPerSecond = 400
	// DefaultStoreBytesPerSecond is the default limit of downloads, in bytes a second.
	DefaultStoreBytesPerSecond = 64 << 20
	// DefaultOtherWeights is the default size in bytes of weights that aren't listed.
	DefaultOtherWeights = 1 << 20
)

// withDefaults returns the options with 0 replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.AppendsPerSecond == 0 {
		o.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if o.StoreBytesPerSecond == 0 {
		o.StoreBytesPerSecond = DefaultStoreBytesPerSecond
	}
	if o.OtherWeights == 0 {
		o.OtherWeights = DefaultOtherWeights
	}
	return o
}

// Platform serves the platform's three services on one address.
type Platform struct {
	options Options
	server  *sycserver.Server
	log     *log
	list    *list
	store   *store

	mu sync.Mutex
	// faults holds the injected faults.
	faults Faults
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
}

// New starts a platform that serves until Close.
func New(o Options) (*Platform, error) {
	o = o.withDefaults()
	p := &Platform{
		options: o,
		log:     newLog(o.RetainAge, o.RetainCount),
		list:    newList(o.ListLag),
		changed: make(chan struct{}),
	}
	p.store = newStore(o, func() bool { return p.Faults().Store.Out })
	if err := p.listen(); err != nil {
		return nil, eris.Wrap(err, "platform stand-in")
	}
	return p, nil
}

// listen starts the platform's HTTP server.
func (p *Platform) listen() (err error) {
	if p.options.Listener != nil {
		p.server = sycserver.NewOn(p.options.Listener, p.routes())
		return nil
	}
	p.server, err = sycserver.New(p.options.Address, p.routes())
	return err
}

// routes returns the handler of the three services and of the faults' admin API. The append
// limit's burst is what a tenth of a second allows, at least 1.
func (p *Platform) routes() http.Handler {
	appends := rate.NewLimiter(rate.Limit(p.options.AppendsPerSecond), max(1, int(p.options.AppendsPerSecond)/10))
	router := bunrouter.New()
	router.POST("/v1/log/:stream", p.withFault(logPart, p.append(appends)))
	router.GET("/v1/log/:stream", p.withFault(logPart, p.log.read))
	router.GET("/v1/vms", p.withFault(listPart, p.list.get))
	router.PUT("/v1/vms/:id", p.withFault(listPart, p.list.put))
	router.DELETE("/v1/vms/:id", p.withFault(listPart, p.list.remove))
	router.GET("/v1/weights", p.withFault(storePart, p.store.index))
	router.GET("/v1/weights/:name", p.withFault(storePart, p.store.get))
	router.GET("/admin/faults", p.getFaults)
	router.POST("/admin/faults", p.postFaults)
	return router
}

// URL returns the base URL of the platform, without a trailing slash.
func (p *Platform) URL() string { return p.server.URL() }

// Address returns the address of the platform, as host:port.
func (p *Platform) Address() string { return p.server.Address() }

// Watch starts to count how often the texts occur in the bytes received from clients.
func (p *Platform) Watch(texts ...string) { p.server.Watch(texts...) }

// Sightings returns how often texts given to Watch have been received.
func (p *Platform) Sightings() int { return p.server.Sightings() }

// RemoveVM removes a VM from the list, as the platform does when a VM no longer exists.
func (p *Platform) RemoveVM(id string) { p.list.change(id, nil) }

// StoreReads returns the number of running downloads from the weight store.
func (p *Platform) StoreReads() int { return int(p.store.inUse.Load()) }

// Close stops the platform and waits until its handlers have returned.
func (p *Platform) Close() error { return p.server.Close() }
