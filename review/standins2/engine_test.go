//go:build review

package standins2_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// poolName and modelName are the names of the service of engines and of its model.
	poolName  = "model-pool"
	modelName = "daka510000"
	// pieceCount is the number of events of a stream, and pieceTime the time between two.
	pieceCount = 150
	pieceTime  = 12 * time.Millisecond
	// loadTime is how long an engine takes for new weights.
	loadTime = 430 * time.Millisecond
)

// engine is a stand-in of a model worker: it streams, resumes streams and takes orders for new weights.
type engine struct {
	id, zone, address string
	born              int64
	seq               atomic.Int64
	record            *record
	// failing is the share of the requests that it answers 500, in thousandths.
	failing atomic.Int64
	mu      sync.Mutex
	// version is the version of the weights, orders the number of orders accepted.
	version, orders int64
	busy            bool
	// running holds the connections of the requests that run.
	running map[net.Conn]bool
}

// newEngine starts an engine on a free loopback port, and writes its entries until the program ends.
func newEngine(r *record, s *store, id, zone string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), record: r, version: 1, running: map[net.Conn]bool{},
	}
	go func() { _ = http.Serve(l, e) }()
	go keepEntry(s, id, e.entry)
	return e, nil
}

// models returns the engine's list of models. The caller holds mu.
func (e *engine) models() []any {
	return []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
}

// entry returns the engine's entry in the list of workers.
func (e *engine) entry() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"service": poolName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": e.models(), "seq": e.seq.Add(1), "born": e.born,
	})
	return string(text)
}

// ServeHTTP answers a request or a call.
func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(instanceHeader, e.id)
	if id := r.Header.Get(requestIDHeader); id != "" {
		rw.Header().Set(requestIDHeader, id)
	}
	if expected := r.Header.Get(expectHeader); expected != "" && expected != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(rw, http.StatusOK, map[string]any{"stage": "both", "models": e.models(), "busy": e.busy, "seq": e.orders, "running": len(e.running), "born": e.born})
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(wait) * time.Millisecond)
		reply(rw, http.StatusOK, map[string]any{"epoch": 7, "next": 0, "lost": false, "events": []any{}, "born": e.born})
	case "/order":
		e.order(rw, r)
	default:
		e.run(rw, r)
	}
}

// order accepts an order for new weights.
func (e *engine) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string `json:"operation"`
		Version      int64  `json:"version"`
		Mode         string `json:"mode"`
		Holder       string `json:"holder"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Precondition != nil && *o.Precondition != e.orders:
		rw.WriteHeader(http.StatusConflict)
		return
	case e.version == o.Version:
		return
	}
	e.busy = true
	e.orders++
	e.record.write("engine %s takes an order: version %d, %s, %d runs", e.id, o.Version, o.Mode, len(e.running))
	if o.Mode == "truncate" {
		for c := range e.running {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
	go e.load(o.Version)
	rw.WriteHeader(http.StatusAccepted)
}

// load loads weights once nothing runs.
func (e *engine) load(version int64) {
	for e.runs() > 0 {
		time.Sleep(pieceTime)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.busy = version, false
}

// runs returns how many requests run.
func (e *engine) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// run runs a request: it streams from the event after the client's last one on.
func (e *engine) run(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	_, _ = io.Copy(io.Discard, r.Body)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, buffered, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = buffered.Flush()
	e.mu.Lock()
	version, busy := e.version, e.busy
	other := r.Header.Get("X-Expect-Version") != "" && r.Header.Get("X-Expect-Version") != strconv.FormatInt(version, 10)
	if !other && !busy {
		e.running[conn] = true
	}
	e.mu.Unlock()
	head := fmt.Sprintf("%s: %s\r\n%s: %s\r\nX-Weight-Versions: %d\r\nConnection: close\r\n", requestIDHeader, id, instanceHeader, e.id, version)
	switch {
	case other:
		_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
		return
	case busy:
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+head+notRunHeader+": 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.running, conn)
		e.mu.Unlock()
	}()
	head += stampHeader + ": stamp." + id + "\r\n"
	if rand.Int64N(1000) < e.failing.Load() {
		e.record.write("engine %s fails %s, which has %d events: 500", e.id, id, first)
		_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\n"+head+"Content-Length: 6\r\n\r\nfailed")
		return
	}
	e.record.ran(e.id, id)
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := first + 1; i <= pieceCount && err == nil; i++ {
		time.Sleep(pieceTime)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return
	}
	e.record.write("engine %s: %s ends early: %v", e.id, id, err)
}
