// Package sycplatform stands in for the platform: its log, its list of VMs and
// its weight store, with the faults that they have.
package sycplatform

import (
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// Options configures a platform; zero values take the defaults.
type Options struct {
	// Address is where to listen.
	Address string
	// RetainAge and RetainCount bound what each stream keeps; 0 keeps all.
	RetainAge   time.Duration
	RetainCount int
	// AppendsPerSecond limits the calls that append, over all streams.
	AppendsPerSecond float64
	// ListLag is how old the answers of the VM list are.
	ListLag time.Duration
	// StoreBytesPerSecond is the total rate of the weight store.
	StoreBytesPerSecond int
	// Weights gives the sizes of the weights in bytes.
	Weights map[string]int64
	// OtherWeights is the size of weights that are not listed; below 0 there are none.
	OtherWeights int64
}

// Defaults of the options.
const (
	DefaultAppendsPerSecond    = 400
	DefaultStoreBytesPerSecond = 64 << 20
	DefaultOtherWeights        = 1 << 20
)

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

	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
}

// New starts a platform.
func New(o Options) (*Platform, error) {
	o = o.withDefaults()
	p := &Platform{
		options: o,
		log:     newLog(o.RetainAge, o.RetainCount),
		list:    newList(o.ListLag),
		changed: make(chan struct{}),
	}
	p.store = newStore(o, func() bool { return p.Faults().Store.Out })
	server, err := sycserver.New(o.Address, p.routes())
	if err != nil {
		return nil, eris.Wrap(err, "platform stand-in")
	}
	p.server = server
	return p, nil
}

func (p *Platform) routes() http.Handler {
	appends := rate.NewLimiter(rate.Limit(p.options.AppendsPerSecond), max(1, int(p.options.AppendsPerSecond)/10))
	router := bunrouter.New()
	router.POST("/v1/log/:stream", p.faulty(logPart, p.append(appends)))
	router.GET("/v1/log/:stream", p.faulty(logPart, p.log.read))
	router.GET("/v1/vms", p.faulty(listPart, p.list.get))
	router.PUT("/v1/vms/:id", p.faulty(listPart, p.list.put))
	router.DELETE("/v1/vms/:id", p.faulty(listPart, p.list.remove))
	router.GET("/v1/weights", p.faulty(storePart, p.store.index))
	router.GET("/v1/weights/:name", p.faulty(storePart, p.store.get))
	router.GET("/admin/faults", p.getFaults)
	router.POST("/admin/faults", p.postFaults)
	return router
}

// URL is the base URL of the platform, without a trailing slash.
func (p *Platform) URL() string { return p.server.URL() }

// Address is the address of the platform, as host:port.
func (p *Platform) Address() string { return p.server.Address() }

// Watch counts from now on how often the texts come in.
func (p *Platform) Watch(texts ...string) { p.server.Watch(texts...) }

// Sightings is how often watched texts have come in.
func (p *Platform) Sightings() int { return p.server.Sightings() }

// RemoveVM takes a VM off the list, as the platform's machinery does when the VM is gone.
func (p *Platform) RemoveVM(id string) { p.list.change(id, nil) }

// StoreReads is the number of downloads from the weight store that run now.
func (p *Platform) StoreReads() int { return int(p.store.inUse.Load()) }

// Close stops the platform and waits for its handlers.
func (p *Platform) Close() error { return p.server.Close() }
