// Package syckvstore implements a stand-in for a KV store, which keeps copies of
// engines' cached prompt blocks (the KV cache of a part of a prompt) so that other
// engines can fetch them. The stand-in keeps only the blocks' hashes.
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
	// DefaultBlocks is the default of Options.Blocks.
	DefaultBlocks = 1 << 16
	// maxBody limits the body of a request, in bytes.
	maxBody = 16 << 20
)

// Options configures a store.
type Options struct {
	// Address is the address to listen on, as host:port. The default is a free
	// loopback port.
	Address string
	// Blocks is the store's capacity in blocks. If it is zero, DefaultBlocks applies.
	Blocks int
}

// Store serves the HTTP protocol of KV stores on one address.
type Store struct {
	server *sycserver.Server
	client *http.Client

	// mu guards incarnation, cache and changes.
	mu sync.Mutex
	// incarnation identifies the time from one start or clearing to the next.
	incarnation string
	// blocks is the capacity in blocks.
	blocks int
	cache  *syccache.Cache
	// changes counts the imports of this incarnation.
	changes uint64
}

// New starts an empty store.
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

// URL returns the store's base URL, without a trailing slash.
func (s *Store) URL() string { return s.server.URL() }

// Watch starts to count how often the texts occur in the bytes received from
// clients.
func (s *Store) Watch(texts ...string) { s.server.Watch(texts...) }

// Sightings returns how often texts given to Watch have been received.
func (s *Store) Sightings() int { return s.server.Sightings() }

// Clear simulates a restart of the store. It empties the store and begins a new
// incarnation, but keeps open connections.
func (s *Store) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation = uuid.NewString()
	s.cache = syccache.New(s.blocks)
	s.changes = 0
}

// Close stops the store and waits for its handlers to return.
func (s *Store) Close() error {
	s.client.CloseIdleConnections()
	return s.server.Close()
}

// postExport responds with the requested blocks that are cached under the salt. It
// refuses a request for another incarnation than the current one.
func (s *Store) postExport(w http.ResponseWriter, r bunrouter.Request) error {
	var q sycengine.ExportRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	s.mu.Lock()
	response := sycengine.ExportAnswer{Incarnation: s.incarnation, Blocks: s.cache.Cached(q.Salt, q.Blocks)}
	s.mu.Unlock()
	if q.Incarnation != response.Incarnation {
		http.Error(w, "the store has restarted", http.StatusConflict)
		return nil
	}
	return sycserver.WriteJSON(w, http.StatusOK, response)
}

// importRequest is the body of POST /v1/kv/import, which asks the store to copy
// cached blocks from an engine.
type importRequest struct {
	// From is the engine's base URL.
	From string `json:"from"`
	// Incarnation is the engine's incarnation that is believed to have the blocks.
	Incarnation string `json:"incarnation"`
	// Salt is the cache salt of the blocks.
	Salt string `json:"cache_salt"`
	// Blocks holds the hashes of the blocks.
	Blocks []uint64 `json:"blocks"`
}

// postImport copies blocks from an engine and responds with the requested blocks that
// the store has afterwards.
func (s *Store) postImport(w http.ResponseWriter, r bunrouter.Request) error {
	var q importRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	export := sycengine.ExportRequest{Incarnation: q.Incarnation, Salt: q.Salt, Blocks: q.Blocks}
	exported, err := sycengine.Export(r.Context(), s.client, q.From, export)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return nil
	}
	s.mu.Lock()
	s.cache.Store(q.Salt, "", exported.Blocks)
	s.changes++
	response := sycengine.ExportAnswer{Incarnation: s.incarnation, Blocks: s.cache.Cached(q.Salt, q.Blocks)}
	s.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, response)
}

// cacheResponse is the body of the response to GET /v1/cache.
type cacheResponse struct {
	Incarnation string `json:"incarnation"`
	// Next is the number of imports of this incarnation. In an engine's response the field
	// is a sequence number of its cache events.
	Next uint64 `json:"next"`
	// Blocks holds the hashes of all blocks that the store has.
	Blocks []uint64 `json:"blocks"`
}

func (s *Store) getCache(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	response := cacheResponse{Incarnation: s.incarnation, Next: s.changes, Blocks: s.cache.Hashes()}
	s.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, response)
}
