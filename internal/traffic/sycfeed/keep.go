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

// keepTimeout bounds a store's fetch.
const keepTimeout = 5 * time.Second

var (
	keptBlocks = metrics.NewCounter("sycamorecart_feed_kept_blocks_total")
	keepErrors = metrics.NewCounter("sycamorecart_feed_keep_errors_total")
)

// importRequest is the wire form of a store's fetch.
type importRequest struct {
	From        string   `json:"from"`
	Incarnation string   `json:"incarnation"`
	Salt        string   `json:"cache_salt"`
	Blocks      []uint64 `json:"blocks"`
}

type importAnswer struct {
	Incarnation string   `json:"incarnation"`
	Blocks      []uint64 `json:"blocks"`
}

// keepAll has stores fetch blocks until the feed is closed. A fetch that fails
// isn't tried again; the next use of the prefix brings a new one.
func (f *Feed) keepAll() {
	ctx := f.tomb.Context(context.Background())
	for {
		select {
		case <-f.tomb.Dying():
			return
		case k := <-f.options.Sink.StoreFetches():
			if err := f.keep(ctx, k); err != nil {
				keepErrors.Inc()
			}
		}
	}
}

func (f *Feed) keep(ctx context.Context, k sycdispatch.StoreFetch) error {
	body, err := json.Marshal(importRequest{
		From:        k.From,
		Incarnation: k.Incarnation,
		Salt:        k.Salt,
		Blocks:      k.Blocks,
	})
	if err != nil {
		return eris.Wrap(err, "feed: keep")
	}
	answer, err := call[importAnswer](ctx, f.client, http.MethodPost, k.Address+"/v1/kv/import", body, keepTimeout)
	if err != nil {
		return err
	}
	keptBlocks.Add(len(answer.Blocks))
	f.options.Sink.ConfirmStored(k.Store, answer.Incarnation, answer.Blocks)
	return nil
}
