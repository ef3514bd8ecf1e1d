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

const storeChunk = 32 << 10

// store streams weights within one total rate.
type store struct {
	bytesPerSecond int
	weights        map[string]int64
	other          int64
	limiter        *rate.Limiter
	inUse          atomic.Int64
	// out reports an outage, which breaks downloads off.
	out func() bool
}

func newStore(o Options, out func() bool) *store {
	return &store{
		bytesPerSecond: o.StoreBytesPerSecond,
		weights:        maps.Clone(o.Weights),
		other:          o.OtherWeights,
		limiter:        rate.NewLimiter(rate.Limit(o.StoreBytesPerSecond), storeChunk),
		out:            out,
	}
}

type weightsEntry struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

type storeAnswer struct {
	BytesPerSecond int            `json:"rate_bytes_per_second"`
	InUse          int64          `json:"in_use"`
	Weights        []weightsEntry `json:"weights"`
}

func (s *store) index(w http.ResponseWriter, _ bunrouter.Request) error {
	answer := storeAnswer{BytesPerSecond: s.bytesPerSecond, InUse: s.inUse.Load(), Weights: []weightsEntry{}}
	for _, name := range slices.Sorted(maps.Keys(s.weights)) {
		answer.Weights = append(answer.Weights, weightsEntry{Name: name, Bytes: s.weights[name]})
	}
	return sycserver.WriteJSON(w, http.StatusOK, answer)
}

func (s *store) get(w http.ResponseWriter, r bunrouter.Request) error {
	left, ok := s.weights[r.Param("name")]
	if !ok {
		left = s.other
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
