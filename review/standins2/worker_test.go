//go:build review

package standins2_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two entries of a worker.
const heartbeat = 1200 * time.Millisecond

// workTime is how long a worker works on a request.
const workTime = 30 * time.Millisecond

// worker is a stand-in of a sound worker of a plain service.
type worker struct {
	id, service, zone, address string
	born                       int64
	seq                        atomic.Int64
	record                     *record
}

// newWorker starts a worker on a free loopback port, and writes its entries until the program ends.
func newWorker(r *record, s *store, id, service, zone string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), record: r}
	go func() { _ = http.Serve(l, w) }()
	go keepEntry(s, id, w.entry)
	return w, nil
}

// keepEntry writes an entry of the list of workers, again and again.
func keepEntry(s *store, id string, entry func() string) {
	for {
		s.put(endpointsTopic, id, entry())
		time.Sleep(heartbeat)
	}
}

// entry returns the worker's entry in the list of workers.
func (w *worker) entry() string {
	text, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "seq": w.seq.Add(1), "born": w.born,
	})
	return string(text)
}

// ServeHTTP runs a request. One that expects another instance gets 421.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	rw.Header().Set(instanceHeader, w.id)
	if id != "" {
		rw.Header().Set(requestIDHeader, id)
	}
	body, err := io.ReadAll(r.Body)
	switch expected := r.Header.Get(expectHeader); {
	case err != nil:
		return
	case expected != "" && expected != w.id:
		w.record.write("worker %s answers 421: request %s expects instance %s", w.id, id, expected)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == "/health":
		return
	case id == "":
		rw.Header().Set(notRunHeader, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.record.ran(w.id, id)
	time.Sleep(workTime)
	rw.Header().Set(stampHeader, "stamp."+id)
	_, _ = fmt.Fprintf(rw, "%s ran %s %s %s", w.id, r.Method, r.RequestURI, body)
}

// foreign is a server of another system. It knows nothing of the platform's headers, and answers whatever it is
// sent.
type foreign struct {
	address string
	record  *record
}

// newForeign starts a server of another system on a free loopback port.
func newForeign(r *record) (*foreign, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &foreign{address: l.Addr().String(), record: r}
	go func() { _ = http.Serve(l, f) }()
	return f, nil
}

// ServeHTTP runs a request.
func (f *foreign) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.record.ranForeign(r.Header.Get(requestIDHeader), r.Method+" "+r.RequestURI)
	_, _ = io.WriteString(rw, "done\n")
}
