// Package syckvstore stands in for the store of kept KV cache.
package syckvstore

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/standin/syccache"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

const (
	// DefaultBlocks is the size of a store where none is given.
	DefaultBlocks = 1 << 16
	maxBody       = 16 << 20
)

// Options configures a store; zero values take the defaults.
type Options struct {
	// Address is where to listen.
	Address string
	// Blocks is the number of blocks that the store keeps.
	Blocks int
}

// Store serves the protocol of the store of kept KV cache.
type Store struct {
	server *sycserver.Server
	client *http.Client

	mu          sync.Mutex
	incarnation string
	blocks      int
	cache       *syccache.Cache
	// changes counts the changes of the cache.
	changes uint64
}

// New starts a store.
func New(o Options) (*Store, error) {
	if o.Blocks == 0 {
		o.Blocks = DefaultBlocks
	}
	s := &Store{client: &http.Client{Transport: &http.Transport{}}, blocks: o.Blocks}
	s.Clear()
	router := bunrouter.New()
	router.POST("/v1/kv/export", s.postExport)
	router.POST("/v1/kv/import", s.postImport)
	router.GET("/v1/cache", s.getCache)
	server, err := sycserver.New(o.Address, router)
	if err != nil {
		return nil, eris.Wrap(err, "KV store stand-in")
	}
	s.server = server
	return s, nil
}

// URL is the store's base URL, without a trailing slash.
func (s *Store) URL() string { return s.server.URL() }

// Watch counts from now on how often the texts come in.
func (s *Store) Watch(texts ...string) { s.server.Watch(texts...) }

// Sightings is how often watched texts have come in.
func (s *Store) Sightings() int { return s.server.Sightings() }

// Clear empties the store as a restart does.
func (s *Store) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = uuid.NewString()
	s.cache = syccache.New(s.blocks)
	s.changes = 0
}

// Close stops the store and waits for its handlers.
func (s *Store) Close() error {
	s.client.CloseIdleConnections()
	return s.server.Close()
}

func (s *Store) postExport(w http.ResponseWriter, r bunrouter.Request) error {
	var q sycengine.ExportRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	s.mu.Lock()
	answer := sycengine.ExportAnswer{Incarnation: s.incarnation, Blocks: s.cache.Held(q.Salt, q.Blocks)}
	s.mu.Unlock()
	if q.Incarnation != answer.Incarnation {
		http.Error(w, "the store has restarted", http.StatusConflict)
		return nil
	}
	return sycserver.WriteJSON(w, http.StatusOK, answer)
}

type importRequest struct {
	From        string   `json:"from"`
	Incarnation string   `json:"incarnation"`
	Salt        string   `json:"cache_salt"`
	Blocks      []uint64 `json:"blocks"`
}

// postImport fetches blocks from an engine and answers with those kept.
func (s *Store) postImport(w http.ResponseWriter, r bunrouter.Request) error {
	var q importRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	ask := sycengine.ExportRequest{Incarnation: q.Incarnation, Salt: q.Salt, Blocks: q.Blocks}
	got, err := sycengine.Export(r.Context(), s.client, q.From, ask)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return nil
	}
	s.mu.Lock()
	s.cache.Store(q.Salt, "", got.Blocks)
	s.changes++
	answer := sycengine.ExportAnswer{Incarnation: s.incarnation, Blocks: s.cache.Held(q.Salt, q.Blocks)}
	s.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, answer)
}

type cacheAnswer struct {
	Incarnation string   `json:"incarnation"`
	Next        uint64   `json:"next"`
	Blocks      []uint64 `json:"blocks"`
}

func (s *Store) getCache(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	answer := cacheAnswer{Incarnation: s.incarnation, Next: s.changes, Blocks: s.cache.Hashes()}
	s.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, answer)
}
