// Package sycstate keeps this VM's replicas of the config and system streams up to date.
//
// It reads the log by long polling. It reads from peers, the other VMs, while the log
// can't be reached or other VMs read the log for the failure domain. Records are applied
// on the control loop in the order of their offsets. The resulting states are published
// through atomic pointers, so that any goroutine may read them.
//
// A proof is a read of a stream's end which shows that the state had reached it. It
// proves that the state was up to date when the read started. A proposal is a set of
// operations that this VM appends to a stream and whose results it waits for.
package sycstate

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
	"sycamorecart.example/sycamorecart/internal/port/syclog"
)

var log = syclogging.New("state")

// Names of the log streams that a store follows.
const (
	// ConfigStream holds the operators' configuration.
	ConfigStream = sycconfig.ConfigStream
	// SystemStream holds the records that VMs write.
	SystemStream = sycconfig.SystemStream
)

// Peers reads from other VMs.
type Peers interface {
	// Records asks some peers for records; repeated calls ask different peers.
	Records(ctx context.Context, q sycpeer.Query) (*sycpeerpb.RecordsReply, error)
	// Snapshot fetches a snapshot of a stream's state from a peer. The offset is that
	// after the last record that the snapshot includes.
	Snapshot(ctx context.Context, stream string) (offset uint64, data []byte, err error)
}

// Options configure a Store.
type Options struct {
	// Loop is the control loop, which applies records and calls listeners.
	Loop *sycloop.Loop
	// Log is the client of the log.
	Log *syclog.Client
	// Peers reads from other VMs. If it's nil, records come from the log only.
	Peers Peers
	// Self identifies this VM and its incarnation in the IDs of its operations and
	// snapshots.
	Self string
	// ReadWait is how long the log waits for new records before it sends an empty
	// response. It's also the timeout of a poll of peers.
	ReadWait time.Duration
	// ReadsLog reports whether this VM is one of the VMs that read the log for their
	// failure domain. The other VMs read records from peers. If it's nil, this VM always
	// reads the log.
	ReadsLog func() bool
	// PeerPoll is the mean time between polls of peers, which take place until the state
	// is ready, while the log gives no records, and while other VMs read the log. Until
	// the state is ready peers are polled more often.
	PeerPoll time.Duration
	// MaxProofAge is the age of the latest proof beyond which this VM reads the log itself
	// although ReadsLog returns false.
	MaxProofAge time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// ReadOnly keeps the store from appending snapshots. It's set for operators' commands.
	ReadOnly bool
}

// Defaults sets the durations that are zero to their defaults.
func (o *Options) Defaults() {
	if o.ReadWait == 0 {
		o.ReadWait = time.Second
	}
	if o.PeerPoll == 0 {
		o.PeerPoll = 300 * time.Millisecond
	}
	if o.MaxProofAge == 0 {
		o.MaxProofAge = 5 * time.Second
	}
	if o.Retention == 0 {
		o.Retention = 24 * time.Hour
	}
}

// Store holds the states of this VM's replicas and keeps them up to date.
type Store struct {
	// options are the options that New received, with the defaults set.
	options Options
	// tomb runs the store's goroutines.
	tomb tomb.Tomb
	// config and system follow the config and the system stream.
	config *follower
	system *follower

	// mutex guards listeners.
	mutex sync.Mutex
	// listeners are called on the control loop after a state has changed or has become
	// ready. Entries are never removed.
	listeners []func(now time.Duration)
}

// New returns a store and starts to follow both streams. Close stops it.
func New(o Options) *Store {
	o.Defaults()
	s := &Store{options: o}
	s.config = newFollower(s, ConfigStream)
	s.system = newFollower(s, SystemStream)
	s.tomb.Go(newArchiver(s).run)
	for _, f := range s.followers() {
		s.tomb.Go(f.followLog)
		if o.Peers != nil {
			s.tomb.Go(f.followPeers)
		}
	}
	return s
}

// Close stops following and waits for the store's goroutines.
func (s *Store) Close() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Config returns the current state of the config stream; it is never nil.
func (s *Store) Config() *sycconfig.State { return s.config.state.Load() }

// System returns the current state of the system stream; it is never nil.
func (s *Store) System() *sycconfig.State { return s.system.state.Load() }

// Ready reports whether both states may be used to serve requests. A state may be used
// once it has been proven up to date or a peer's snapshot was fetched. A snapshot from
// the log may be used only after serveAfterFailures failed reads of the log in a row.
// Once true, Ready stays true.
func (s *Store) Ready() bool {
	return s.config.ready.Load() && s.system.ready.Load()
}

// OnChange registers f to be called on the control loop after a state has changed or has
// become ready.
func (s *Store) OnChange(f func(now time.Duration)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, f)
}

// notify calls the listeners. It runs on the control loop.
func (s *Store) notify(now time.Duration) {
	s.mutex.Lock()
	listeners := s.listeners
	s.mutex.Unlock()
	for _, f := range listeners {
		f(now)
	}
}

// Applied returns the offsets after the last applied records of the two streams.
func (s *Store) Applied() (config, system uint64) {
	return s.Config().Next(), s.System().Next()
}

// ProofAge returns the time since a stream's state was last proven to be up to date. It
// returns false if there is no proof yet or the stream is unknown.
func (s *Store) ProofAge(stream string) (age time.Duration, ok bool) {
	f := s.follower(stream)
	if f == nil {
		return 0, false
	}
	return f.proofAge()
}

// Results returns the results of the stream's records at the offset since and later, as
// far as the replica keeps them. It must not be called on the control loop, because it
// waits for the loop.
func (s *Store) Results(stream string, since uint64) []sycconfig.Result {
	f := s.follower(stream)
	if f == nil {
		return nil
	}
	var list []sycconfig.Result
	s.options.Loop.Do(func(time.Duration) { list = f.replica.Results(since) })
	return list
}

// followers returns the followers of both streams.
func (s *Store) followers() []*follower { return []*follower{s.config, s.system} }

// context returns a context that is canceled when the store closes.
func (s *Store) context() context.Context { return s.tomb.Context(nil) }

// sleep pauses for a duration or until the store closes.
func (s *Store) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.tomb.Dying():
	}
}

// follower returns the follower of a stream, or nil if the stream is unknown.
func (s *Store) follower(stream string) *follower {
	switch stream {
	case ConfigStream:
		return s.config
	case SystemStream:
		return s.system
	}
	return nil
}
