package syckvstore_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycblock"
	"sycamorecart.example/sycamorecart/internal/standin/sycengine"
	"sycamorecart.example/sycamorecart/internal/standin/syckvstore"
)

// post sends the body as JSON, decodes a 200 response into value unless it is nil, and
// returns the status.
func post(t *testing.T, address string, body, value any) int {
	t.Helper()
	data, err := json.Marshal(body)
	must.NoError(t, err)
	response, err := http.Post(address, "application/json", bytes.NewReader(data))
	must.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	if value != nil && response.StatusCode == http.StatusOK {
		must.NoError(t, json.Unmarshal(text, value))
	}
	return response.StatusCode
}

func TestImportExportAndClear(t *testing.T) {
	engine, err := sycengine.New(sycengine.Options{Models: map[string]string{"m": "w1"}, Speed: 50})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, engine.Close()) })
	store, err := syckvstore.New(syckvstore.Options{})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, store.Close()) })

	prompt := strings.Repeat("p", 2*sycblock.BytesPerBlock)
	blocks := sycblock.Chain("salt", prompt)
	completion := map[string]any{"model": "m", "prompt": prompt, "max_tokens": 1, "cache_salt": "salt"}
	must.Eq(t, http.StatusOK, post(t, engine.URL()+"/v1/completions", completion, nil))

	var imported sycengine.ExportAnswer
	importRequest := map[string]any{
		"from": engine.URL(), "incarnation": engine.Incarnation(),
		"cache_salt": "salt", "blocks": blocks,
	}
	must.Eq(t, http.StatusOK, post(t, store.URL()+"/v1/kv/import", importRequest, &imported))
	must.Eq(t, blocks, imported.Blocks)

	tests := []struct {
		name string
		salt string
		want []uint64
	}{
		{"same salt", "salt", blocks},
		{"other salt", "other", []uint64{}},
	}
	for _, tt := range tests {
		var exported sycengine.ExportAnswer
		export := sycengine.ExportRequest{Incarnation: imported.Incarnation, Salt: tt.salt, Blocks: blocks}
		must.Eq(t, http.StatusOK, post(t, store.URL()+"/v1/kv/export", export, &exported))
		must.Eq(t, tt.want, exported.Blocks, must.Sprint(tt.name))
	}
	store.Clear()
	export := sycengine.ExportRequest{Incarnation: imported.Incarnation, Salt: "salt", Blocks: blocks}
	must.Eq(t, http.StatusConflict, post(t, store.URL()+"/v1/kv/export", export, nil))
}
