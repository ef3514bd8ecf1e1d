package sycengine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// exportTimeout limits one export call, from the request to the end of the response.
const exportTimeout = 5 * time.Second

// importSource names cached blocks that the engine should fetch before the prefill.
type importSource struct {
	// From is the base URL of the engine or KV store that has the blocks.
	From string `json:"from"`
	// Incarnation is the incarnation of the source that is believed to have the blocks.
	Incarnation string `json:"incarnation"`
	// Blocks holds the hashes of the blocks.
	Blocks []uint64 `json:"blocks"`
}

// ExportRequest is the body of POST /v1/kv/export, by which a client asks an engine
// or KV store for cached blocks.
type ExportRequest struct {
	// Incarnation is the incarnation that the client expects. A receiver of another
	// incarnation refuses the request.
	Incarnation string `json:"incarnation"`
	// Salt is the cache salt of the blocks.
	Salt string `json:"cache_salt"`
	// Blocks holds the hashes of the requested blocks.
	Blocks []uint64 `json:"blocks"`
}

// ExportAnswer is the body of the response to an ExportRequest.
type ExportAnswer struct {
	// Incarnation is the current incarnation of the engine or KV store.
	Incarnation string `json:"incarnation"`
	// Blocks holds the hashes of the requested blocks that are cached under the salt.
	Blocks []uint64 `json:"blocks"`
}

func (e *Engine) postExport(w http.ResponseWriter, r bunrouter.Request) error {
	var q ExportRequest
	if err := decode(w, r, &q); err != nil {
		return fail(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	e.mu.Lock()
	response := ExportAnswer{Incarnation: e.instance.incarnation, Blocks: e.instance.cache.Cached(q.Salt, q.Blocks)}
	e.mu.Unlock()
	if q.Incarnation != response.Incarnation {
		return fail(w, http.StatusConflict, "other_incarnation", "the engine has restarted")
	}
	return sycserver.WriteJSON(w, http.StatusOK, response)
}

// Export asks the engine or KV store at a base URL for cached blocks. It fails if
// the source has another incarnation than the requested one.
func Export(ctx context.Context, client *http.Client, address string, q ExportRequest) (ExportAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	var exported ExportAnswer
	body, err := json.Marshal(q)
	if err != nil {
		return exported, eris.Wrap(err, "export")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return exported, eris.Wrap(err, "export")
	}
	response, err := client.Do(request)
	if err != nil {
		return exported, eris.Wrap(err, "export")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return exported, eris.Errorf("export: %s", response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&exported); err != nil {
		return exported, eris.Wrap(err, "export")
	}
	if exported.Incarnation != q.Incarnation {
		return exported, eris.New("export: another incarnation")
	}
	return exported, nil
}

// importBlocks fetches the blocks that a request's Import names and caches them. It
// ignores errors, because the prefill computes all blocks that aren't cached.
func (e *Engine) importBlocks(ctx context.Context, inst *instance, q completionRequest) {
	if q.Import == nil {
		return
	}
	chain := sycblock.Chain(q.Salt, q.Prompt)
	export := ExportRequest{Incarnation: q.Import.Incarnation, Salt: q.Salt, Blocks: q.Import.Blocks}
	exported, err := Export(ctx, e.client, q.Import.From, export)
	if err != nil {
		return
	}
	fetched := slices.DeleteFunc(exported.Blocks, func(hash uint64) bool {
		return !slices.Contains(chain, hash)
	})
	if !sycpause.For(ctx, e.scaled(time.Duration(len(fetched))*e.options.ImportPerBlock)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store(inst, q.Salt, q.Weights, fetched)
}
