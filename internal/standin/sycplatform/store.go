package sycplatform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// storeChunk is the number of bytes written at once, and the burst of the store's rate
// limit.
const storeChunk = 32 << 10

// store is the weight store. It serves downloads of zero bytes of the weights' sizes, all
// of them together limited to one rate.
type store struct {
	// bytesPerSecond is the rate limit of all downloads together.
	bytesPerSecond int
	// weights holds the sizes in bytes of the listed weights, by name.
	weights map[string]int64
	// otherSize is the size in bytes of weights that aren't listed; below 0 they don't
	// exist.
	otherSize int64
	limiter   *rate.Limiter
	// inUse is the number of running downloads.
	inUse atomic.Int64
	// out reports whether the store is out of service, which aborts running downloads.
	out func() bool
}

// newStore returns a store with the sizes and the rate of the options.
func newStore(o Options, out func() bool) *store {
	return &store{
		bytesPerSecond: o.StoreBytesPerSecond,
		weights:        maps.Clone(o.Weights),
		otherSize:      o.OtherWeights,
		limiter:        rate.NewLimiter(rate.Limit(o.StoreBytesPerSecond), storeChunk),
		out:            out,
	}
}

// weightsEntry describes listed weights in the store's index.
type weightsEntry struct {
	// Name identifies the weights.
	Name string `json:"name"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}

// storeResponse is the response with the store's index.
type storeResponse struct {
	// BytesPerSecond is the rate limit of all downloads together.
	BytesPerSecond int `json:"rate_bytes_per_second"`
	// InUse is the number of running downloads.
	InUse int64 `json:"in_use"`
	// Weights are the listed weights in the order of their names.
	Weights []weightsEntry `json:"weights"`
}

// index responds with the store's rate, its load and the listed weights.
func (s *store) index(w http.ResponseWriter, _ bunrouter.Request) error {
	response := storeResponse{BytesPerSecond: s.bytesPerSecond, InUse: s.inUse.Load(), Weights: []weightsEntry{}}
	for _, name := range slices.Sorted(maps.Keys(s.weights)) {
		response.Weights = append(response.Weights, weightsEntry{Name: name, Bytes: s.weights[name]})
	}
	return sycserver.WriteJSON(w, http.StatusOK, response)
}

// get serves a download of the weights named in the path. It aborts the connection if the
// store goes out of service meanwhile.
func (s *store) get(w http.ResponseWriter, r bunrouter.Request) error {
	left, ok := s.weights[r.Param("name")]
	if !ok {
		left = s.otherSize
	}
	if left < 0 {
		return refuse(w, http.StatusNotFound, "no such weights")
	}
	s.inUse.Add(1)
	defer s.inUse.Add(-1)
	w.Header().Set("Content-Length", strconv.FormatInt(left, 10))
	chunk := make([]byte, storeChunk)
	for left > 0 {
		n := min(left, storeChunk)
		if err := s.limiter.WaitN(r.Context(), int(n)); err != nil || s.out() {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return nil
		}
		left -= n
	}
	return nil
}
