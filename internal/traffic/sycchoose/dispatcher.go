package sycchoose

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
	"sycamorecart.example/sycamorecart/internal/decide/sycroute"
	"sycamorecart.example/sycamorecart/internal/decide/sycwork"
)

// dispatcher is a sycdispatch.Dispatcher with any policy. That type documents the methods.
type dispatcher interface {
	Configure(now time.Duration, s *sycconfig.State)
	Submit(now time.Duration, r *sycdispatch.Request)
	Cancel(now time.Duration, id uint64)
	FirstToken(now time.Duration, id uint64)
	Finish(now time.Duration, id uint64, r sycwork.Result)
	Tick(now time.Duration)
	Take() []sycdispatch.Decision
	Report(now, at time.Duration, name string, r sycdispatch.Report)
	Relayed(now, at time.Duration, name string, r sycdispatch.Report) bool
	RoundTrip(name string, took time.Duration)
	Unreachable(now time.Duration, name string)
	Silent(now time.Duration, name string)
	Urgent() bool
	TakeStoreFetches() []sycdispatch.StoreFetch
	ConfirmStored(now time.Duration, name, incarnation string, blocks []uint64)
	Stats() sycdispatch.Stats
	Endpoints(now time.Duration) []sycdispatch.EndpointStatus
	Events(now time.Duration, name string, b sycdispatch.Batch) sycdispatch.Position
	Resync(now time.Duration, name, incarnation string, next uint64, blocks []uint64) sycdispatch.Position
	Position(name string) sycdispatch.Position
	Digest(now time.Duration) sycdispatch.Digest
	ApplyDigest(now time.Duration, from string, in sycdispatch.Digest)
}

// newDispatcher returns a dispatcher with the named policy. Unknown names stand for
// sycroute.NamePrefix.
func newDispatcher(policy string, o sycdispatch.Options) dispatcher {
	switch policy {
	case sycroute.NameRoundRobin:
		return sycdispatch.New(o, &sycroute.RoundRobin{})
	case sycroute.NameLeastLoaded:
		return sycdispatch.New(o, sycroute.LeastLoaded{})
	case sycroute.NameRendezvous:
		return sycdispatch.New(o, sycroute.Rendezvous{})
	default:
		return sycdispatch.New(o, &sycroute.Prefix{})
	}
}
