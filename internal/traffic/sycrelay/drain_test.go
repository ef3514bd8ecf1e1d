package sycrelay

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAnswerInADrainAsksToClose guards against an answer in a drain that lets its caller use the connection again.
func TestAnswerInADrainAsksToClose(t *testing.T) {
	for _, path := range []string{"/call/x", "/stream/x", "/call/failed", "/single/none"} {
		t.Run(path, func(t *testing.T) {
			var r *rig
			r = newRig(t, 1, func(w http.ResponseWriter, req *http.Request, first int) {
				r.relay.Drain()
				switch path {
				case "/stream/x":
					streamWith()(w, req, first)
				case "/call/failed":
					w.WriteHeader(http.StatusInternalServerError)
				case "/single/none":
					reset(w, req, first)
				default:
					send(w, "answer")
				}
			})
			resp, err := http.Get("http://" + r.address + path)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			must.True(t, resp.Close)
		})
	}
}
