package sycengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 32 << 20

// routes returns the handler of the engine protocol under /v1 and of the paths under
// /admin, by which tests control the engine.
func (e *Engine) routes() http.Handler {
	router := bunrouter.New()
	router.POST("/v1/completions", e.postCompletion)
	router.GET("/v1/streams/:stream", e.getStream)
	router.DELETE("/v1/streams/:stream", e.deleteStream)
	router.GET("/v1/load", e.getLoad)
	router.GET("/v1/events", e.getEvents)
	router.GET("/v1/cache", e.getCache)
	router.POST("/v1/kv/export", e.postExport)
	router.POST("/v1/orders", e.postOrder)
	router.GET("/admin/faults", e.getFaults)
	router.POST("/admin/faults", e.postFaults)
	router.GET("/admin/requests", e.getRequests)
	router.GET("/admin/orders", e.getOrders)
	router.POST("/admin/crash", e.postCrash)
	return router
}

// errorBody is the body of an error response.
type errorBody struct {
	Error errorFields `json:"error"`
}

// errorFields describes an error by a code for programs and a message for readers.
type errorFields struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse writes an error response whose header tells the router that nothing ran.
func refuse(w http.ResponseWriter, status int, code, message string) error {
	w.Header().Set("Sycamorecart-Not-Run", "true")
	return fail(w, status, code, message)
}

// fail writes an error response without claiming that nothing ran.
func fail(w http.ResponseWriter, status int, code, message string) error {
	return sycserver.WriteJSON(w, status, errorBody{errorFields{code, message}})
}

// decode reads a request's JSON body, of at most maxBodyBytes, into value.
func decode(w http.ResponseWriter, r bunrouter.Request, value any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(value)
}

// currentInstance returns the instance that receives requests at present.
func (e *Engine) currentInstance() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instance
}

func (e *Engine) getLoad(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	report := e.instance.report
	e.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, report)
}

// eventsPoll is the interval at which a call of /v1/events that waits for events
// checks for new ones.
const eventsPoll = 10 * time.Millisecond

// getEvents responds with the published cache events. If there are none, it waits
// for them up to the duration that the client gives as wait.
func (e *Engine) getEvents(w http.ResponseWriter, r bunrouter.Request) error {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	deadline := time.Now().Add(wait)
	for {
		response := e.visibleEvents(query.Get("incarnation"), from)
		if len(response.Events) > 0 || !time.Now().Before(deadline) {
			return sycserver.WriteJSON(w, http.StatusOK, response)
		}
		if !sycpause.For(r.Context(), eventsPoll) {
			return nil
		}
	}
}

// visibleEvents returns the published events with a sequence number of at least
// from. If the client names another incarnation than the current one, it returns
// all published events.
func (e *Engine) visibleEvents(incarnation string, from uint64) eventsResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != "" && incarnation != e.instance.incarnation {
		from = 0
	}
	response := e.instance.events.visible(from, time.Now().Add(-e.options.EventDelay))
	response.Incarnation = e.instance.incarnation
	return response
}

// cacheResponse is the body of the response to GET /v1/cache.
type cacheResponse struct {
	// Incarnation is the engine's current incarnation.
	Incarnation string `json:"incarnation"`
	// Next is the sequence number of the first event that Blocks doesn't include.
	Next uint64 `json:"next"`
	// Blocks holds the hashes of all cached blocks.
	Blocks []uint64 `json:"blocks"`
}

func (e *Engine) getCache(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	inst := e.instance
	response := cacheResponse{Incarnation: inst.incarnation, Next: inst.events.next, Blocks: inst.cache.Hashes()}
	e.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, response)
}

func (e *Engine) getFaults(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, e.Faults())
}

// postFaults sets the faults that the body names and keeps all other faults.
func (e *Engine) postFaults(w http.ResponseWriter, r bunrouter.Request) error {
	faults := e.Faults()
	if err := decode(w, r, &faults); err != nil {
		return fail(w, http.StatusBadRequest, "bad_faults", err.Error())
	}
	e.SetFaults(faults)
	return sycserver.WriteJSON(w, http.StatusOK, faults)
}

func (e *Engine) getRequests(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, e.Requests())
}

func (e *Engine) getOrders(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, e.Orders())
}

func (e *Engine) postCrash(http.ResponseWriter, bunrouter.Request) error {
	e.Crash()
	return nil
}
