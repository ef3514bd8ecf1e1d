//go:build review

package standins2_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// streams lets clients ask for streams until stop is called, each again and again on a connection that it keeps. stop
// waits until their last streams have ended.
func (d *deployment) streams(count int) (stop func()) {
	ended := make(chan struct{})
	var running sync.WaitGroup
	for number := range count {
		running.Go(func() {
			m := d.machines[number%len(d.machines)]
			for {
				select {
				case <-ended:
					return
				default:
					d.streamOnConnection(m, number, ended)
				}
			}
		})
	}
	return func() {
		close(ended)
		running.Wait()
	}
}

// streamOnConnection asks for streams on one connection, until it is closed or ended is.
func (d *deployment) streamOnConnection(m *machine, number int, ended chan struct{}) {
	conn, err := net.DialTimeout("tcp", m.callers, time.Second)
	if err != nil {
		time.Sleep(clientPause)
		return
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for kept := false; ; kept = true {
		select {
		case <-ended:
			return
		case <-time.After(clientPause):
		}
		id := fmt.Sprintf("9c41d07b%08x", requestCount.Add(1))
		d.record.sent(id, "POST /draft/"+id, m.name)
		_, err := fmt.Fprintf(conn, "POST /draft/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Model: %s\r\n%s: 1460,204\r\n%s: 5c1e07a2:512,%08x:698,%s:250\r\n"+
			"X-Deadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nrota", id, host, requestIDHeader, id, modelName,
			tokensHeader, prefixHeader, number, id[8:], tenantKey)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			d.record.answered(id, 0, false, "no answer: "+err.Error())
			return
		}
		text, err := io.ReadAll(answer.Body)
		events := strings.Count(string(text), "\n\n")
		if err != nil {
			d.record.answered(id, answer.StatusCode, true, "answer cut")
			d.record.cut(id, events, kept)
			return
		}
		d.record.answered(id, answer.StatusCode, answer.Header.Get(stampHeader) == "stamp."+id, fmt.Sprintf("%d events", events))
		if answer.Close {
			return
		}
	}
}
