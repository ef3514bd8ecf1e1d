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

const maxBody = 32 << 20

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

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse answers that nothing ran.
func refuse(w http.ResponseWriter, status int, code, message string) error {
	w.Header().Set("Sycamorecart-Not-Run", "true")
	return fail(w, status, code, message)
}

func fail(w http.ResponseWriter, status int, code, message string) error {
	return sycserver.WriteJSON(w, status, errorBody{errorFields{code, message}})
}

func decode(w http.ResponseWriter, r bunrouter.Request, value any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(value)
}

func (e *Engine) present() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (e *Engine) getLoad(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	report := e.life.report
	e.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, report)
}

// eventsPoll is how often a held call looks for events that became visible.
const eventsPoll = 10 * time.Millisecond

func (e *Engine) getEvents(w http.ResponseWriter, r bunrouter.Request) error {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	held, _ := time.ParseDuration(query.Get("wait"))
	deadline := time.Now().Add(held)
	for {
		answer := e.visibleEvents(query.Get("incarnation"), from)
		if len(answer.Events) > 0 || !time.Now().Before(deadline) {
			return sycserver.WriteJSON(w, http.StatusOK, answer)
		}
		if !sycpause.For(r.Context(), eventsPoll) {
			return nil
		}
	}
}

// visibleEvents answers from the first event where the incarnation is another one.
func (e *Engine) visibleEvents(incarnation string, from uint64) eventsAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != "" && incarnation != e.life.incarnation {
		from = 0
	}
	answer := e.life.events.visible(from, time.Now().Add(-e.options.EventDelay))
	answer.Incarnation = e.life.incarnation
	return answer
}

type cacheAnswer struct {
	Incarnation string   `json:"incarnation"`
	Next        uint64   `json:"next"`
	Blocks      []uint64 `json:"blocks"`
}

func (e *Engine) getCache(w http.ResponseWriter, _ bunrouter.Request) error {
	e.mu.Lock()
	l := e.life
	answer := cacheAnswer{Incarnation: l.incarnation, Next: l.events.next, Blocks: l.cache.Hashes()}
	e.mu.Unlock()
	return sycserver.WriteJSON(w, http.StatusOK, answer)
}

func (e *Engine) getFaults(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, e.Faults())
}

// postFaults changes the faults that the body names and keeps the others.
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
