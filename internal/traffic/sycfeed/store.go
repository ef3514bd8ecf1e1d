package sycfeed

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycdispatch"
)

// storeFetchTimeout limits the time that a store fetch may take.
const storeFetchTimeout = 5 * time.Second

var (
	// storedBlocks counts the blocks that KV stores reported after fetches, storeFetchErrors
	// the failed fetches.
	storedBlocks     = metrics.NewCounter("sycamorecart_feed_kept_blocks_total")
	storeFetchErrors = metrics.NewCounter("sycamorecart_feed_keep_errors_total")
)

// importRequest is the wire form of a store fetch, the request to a KV store to fetch blocks
// from an engine.
type importRequest struct {
	// From is the base URL of the engine.
	From string `json:"from"`
	// Incarnation identifies the engine's process.
	Incarnation string `json:"incarnation"`
	// Salt is the cache salt of the blocks.
	Salt string `json:"cache_salt"`
	// Blocks holds the hashes of the blocks to fetch.
	Blocks []uint64 `json:"blocks"`
}

// importResponse is the wire form of the response to an importRequest.
type importResponse struct {
	// Incarnation identifies the store's process.
	Incarnation string `json:"incarnation"`
	// Blocks holds the hashes of the requested blocks that the store has now.
	Blocks []uint64 `json:"blocks"`
}

// runStoreFetches has KV stores fetch blocks until the Feed is closed. A failed fetch isn't
// retried, since the next request with the same prefix leads to a new fetch.
func (f *Feed) runStoreFetches() {
	ctx := f.tomb.Context(context.Background())
	for {
		select {
		case <-f.tomb.Dying():
			return
		case fetch := <-f.options.Sink.StoreFetches():
			if err := f.storeFetch(ctx, fetch); err != nil {
				storeFetchErrors.Inc()
			}
		}
	}
}

// storeFetch has a KV store fetch blocks, and passes the blocks that it has then to the Sink.
func (f *Feed) storeFetch(ctx context.Context, fetch sycdispatch.StoreFetch) error {
	body, err := json.Marshal(importRequest{
		From:        fetch.From,
		Incarnation: fetch.Incarnation,
		Salt:        fetch.Salt,
		Blocks:      fetch.Blocks,
	})
	if err != nil {
		return eris.Wrap(err, "feed: store fetch")
	}
	response, err := call[importResponse](ctx, f.client, http.MethodPost, fetch.Address+"/v1/kv/import", body, storeFetchTimeout)
	if err != nil {
		return err
	}
	storedBlocks.Add(len(response.Blocks))
	f.options.Sink.ConfirmStored(fetch.Store, response.Incarnation, response.Blocks)
	return nil
}
