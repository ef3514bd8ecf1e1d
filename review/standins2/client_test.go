//go:build review

package standins2_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// clientCount is how many clients send at the same time, each clientPause after its last answer.
	clientCount = 8
	clientPause = 200 * time.Millisecond
	// deadline is how long a client waits.
	deadline = time.Second
)

// requestCount counts the clients' requests.
var requestCount atomic.Int64

// clients send bookings and look-ups to the machines in turn until stop is called, each on connections that it keeps.
// stop waits until they have ended.
func (d *deployment) clients() (stop func()) {
	ended := make(chan struct{})
	var running sync.WaitGroup
	for number := range clientCount {
		running.Go(func() {
			transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: deadline}
			for i := number; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(clientPause):
					d.send(client, d.machines[i%len(d.machines)], i%2 == 0)
				}
			}
		})
	}
	return func() {
		close(ended)
		running.Wait()
	}
}

// send sends one request: a booking, which isn't idempotent, or a look-up.
func (d *deployment) send(client *http.Client, m *machine, books bool) {
	id := fmt.Sprintf("9c41d07b%08x", requestCount.Add(1))
	method, path, body := http.MethodGet, "/read/"+id, ""
	if books {
		method, path, body = http.MethodPost, "/book/"+id, "slot "+id
	}
	r, err := http.NewRequest(method, "http://"+m.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set(requestIDHeader, id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	d.record.sent(id, method+" "+path, m.name)
	answer, err := client.Do(r)
	if err != nil {
		d.record.answered(id, 0, false, "no answer: "+strings.ReplaceAll(err.Error(), "\n", " "))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		d.record.answered(id, 0, false, "answer cut")
		return
	}
	d.record.answered(id, answer.StatusCode, answer.Header.Get(stampHeader) == "stamp."+id, fmt.Sprintf("%.60q", text))
}
