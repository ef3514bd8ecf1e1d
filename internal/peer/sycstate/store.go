// Package sycstate keeps a VM's folded copies of the config and system streams.
//
// It follows the log by long poll and, while the log cannot be reached or others
// read it for the failure domain, peers.
// Records are folded on the control loop in the order of their offsets; the
// resulting states are published for traffic through atomic pointers.
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

// Streams that a store follows.
const (
	ConfigStream = sycconfig.ConfigStream
	SystemStream = sycconfig.SystemStream
)

// Peers reaches other VMs.
type Peers interface {
	// Records asks some peers for records; repeated calls ask different ones.
	Records(ctx context.Context, q sycpeer.Query) (*sycpeerpb.RecordsReply, error)
	// Snapshot fetches a snapshot of a stream that some peer offers.
	Snapshot(ctx context.Context, stream string) (offset uint64, data []byte, err error)
}

// Options configure a Store.
type Options struct {
	Loop *sycloop.Loop
	Log  *syclog.Client
	// Peers may be nil; then the log is the only source.
	Peers Peers
	// Self identifies the VM in the ids of its operations, with its incarnation.
	Self string
	// ReadWait is how long a read of the log is held when there is nothing new.
	ReadWait time.Duration
	// ReadsLog reports whether this VM is one of those that read the log for
	// their failure domain; the others take records from peers. Nil reads the log.
	ReadsLog func() bool
	// PeerPoll is the pause between questions to peers while the log is silent or
	// others read it.
	PeerPoll time.Duration
	// MaxProofAge is the age of the last proof of the log's end at which a VM reads
	// the log although others should.
	MaxProofAge time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// ReadOnly keeps the store from appending snapshots, for operators' commands.
	ReadOnly bool
}

// Defaults fills the fields that are zero.
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

// Store holds the folded states of a VM.
type Store struct {
	options Options
	tomb    tomb.Tomb
	config  *follower
	system  *follower

	// mutex guards listeners, which only grows.
	mutex     sync.Mutex
	listeners []func(now time.Duration)
}

// New starts following both streams. Close ends it.
func New(o Options) *Store {
	o.Defaults()
	s := &Store{options: o}
	s.config = newFollower(s, ConfigStream)
	s.system = newFollower(s, SystemStream)
	s.tomb.Go(newArchive(s).run)
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

// Config is the folded config stream; never nil.
func (s *Store) Config() *sycconfig.State { return s.config.state.Load() }

// System is the folded system stream; never nil.
func (s *Store) System() *sycconfig.State { return s.system.state.Load() }

// Ready reports whether both states are fit to serve from. Once true it stays so.
func (s *Store) Ready() bool {
	return s.config.ready.Load() && s.system.ready.Load()
}

// OnChange calls f on the control loop after each change of a state.
func (s *Store) OnChange(f func(now time.Duration)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, f)
}

func (s *Store) notify(now time.Duration) {
	s.mutex.Lock()
	listeners := s.listeners
	s.mutex.Unlock()
	for _, f := range listeners {
		f(now)
	}
}

// Applied returns the offsets after the last applied records.
func (s *Store) Applied() (config, system uint64) {
	return s.Config().Next(), s.System().Next()
}

// ProofAge returns the age of the last proof that a stream's state was at the end
// of the log: the time since the start of the read that showed it.
func (s *Store) ProofAge(stream string) (age time.Duration, ok bool) {
	f := s.follower(stream)
	if f == nil {
		return 0, false
	}
	return f.proof()
}

// Results returns what became of the stream's records from an offset on, as far
// as they are remembered. It must not be called on the control loop.
func (s *Store) Results(stream string, since uint64) []sycconfig.Result {
	f := s.follower(stream)
	if f == nil {
		return nil
	}
	var list []sycconfig.Result
	s.options.Loop.Do(func(time.Duration) { list = f.replica.Results(since) })
	return list
}

func (s *Store) followers() []*follower { return []*follower{s.config, s.system} }

// context ends with the store.
func (s *Store) context() context.Context { return s.tomb.Context(nil) }

func (s *Store) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.tomb.Dying():
	}
}

func (s *Store) follower(stream string) *follower {
	switch stream {
	case ConfigStream:
		return s.config
	case SystemStream:
		return s.system
	}
	return nil
}
