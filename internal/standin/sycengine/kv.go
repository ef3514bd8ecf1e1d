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

const exportTimeout = 5 * time.Second

// importFrom names blocks to fetch before the prefill.
type importFrom struct {
	From        string   `json:"from"`
	Incarnation string   `json:"incarnation"`
	Blocks      []uint64 `json:"blocks"`
}

// ExportRequest asks an engine or store for the blocks that it holds.
type ExportRequest struct {
	Incarnation string   `json:"incarnation"`
	Salt        string   `json:"cache_salt"`
	Blocks      []uint64 `json:"blocks"`
}

// ExportAnswer gives the blocks held.
type ExportAnswer struct {
	Incarnation string   `json:"incarnation"`
	Blocks      []uint64 `json:"blocks"`
}

func (e *Engine) postExport(w http.ResponseWriter, r bunrouter.Request) error {
	var q ExportRequest
	if err := decode(w, r, &q); err != nil {
		return fail(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	e.mu.Lock()
	answer := ExportAnswer{Incarnation: e.life.incarnation, Blocks: e.life.cache.Held(q.Salt, q.Blocks)}
	e.mu.Unlock()
	if q.Incarnation != answer.Incarnation {
		return fail(w, http.StatusConflict, "other_incarnation", "the engine has restarted")
	}
	return sycserver.WriteJSON(w, http.StatusOK, answer)
}

// Export asks the engine or store at an address for blocks.
func Export(ctx context.Context, client *http.Client, address string, q ExportRequest) (ExportAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	var answer ExportAnswer
	body, err := json.Marshal(q)
	if err != nil {
		return answer, eris.Wrap(err, "export")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return answer, eris.Wrap(err, "export")
	}
	response, err := client.Do(request)
	if err != nil {
		return answer, eris.Wrap(err, "export")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, eris.Errorf("export: %s", response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, eris.Wrap(err, "export")
	}
	if answer.Incarnation != q.Incarnation {
		return answer, eris.New("export: another incarnation")
	}
	return answer, nil
}

// importBlocks fetches the blocks that a request names. What can't be fetched
// is computed.
func (e *Engine) importBlocks(ctx context.Context, l *life, q completion) {
	if q.Import == nil {
		return
	}
	chain := sycblock.Chain(q.Salt, q.Prompt)
	ask := ExportRequest{Incarnation: q.Import.Incarnation, Salt: q.Salt, Blocks: q.Import.Blocks}
	answer, err := Export(ctx, e.client, q.Import.From, ask)
	if err != nil {
		return
	}
	fetched := slices.DeleteFunc(answer.Blocks, func(hash uint64) bool {
		return !slices.Contains(chain, hash)
	})
	if !sycpause.For(ctx, e.scaled(time.Duration(len(fetched))*e.options.ImportPerBlock)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store(l, q.Salt, q.Weights, fetched)
}
