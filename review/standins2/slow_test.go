//go:build review

package standins2_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowBytes is how much a client that reads slowly reads each slowPause.
	slowBytes, slowPause = 200, time.Second
	// windowBytes is the size of a client's receive buffer.
	windowBytes = 4096
	// streamTimeout is the route's timeoutMs, and patience the X-Deadline-Ms of the clients of case 9.
	streamTimeout, patience = 15 * time.Second, 100 * time.Second
	// newClients is how many clients try to get a new connection, each every tryPause. seven are the fewest that count.
	newClients, seven = 10, 7
	tryPause          = 500 * time.Millisecond
	// stableWindow is stableWindowMs of the sheets.
	stableWindow = 3 * time.Second
)

// longStreams are answers of 200 tokens, with alternatives and their probabilities beside each: events of some 3 KB.
var longStreams = manner{pieces: 200, every: pieceTime, padding: strings.Repeat(` {"t":" rota","p":-2.31}`, 120)}

// reader is a client that asks for a stream on a new connection.
type reader struct {
	conn   net.Conn
	sentAt time.Time
	// ended is set once the machine has ended the answer or the connection, or has refused the request.
	ended atomic.Bool
}

// askForStream asks a machine for a long stream, and reads it at once or slowly until it ends.
func (d *deployment) askForStream(m *machine, slow bool) (*reader, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.Dial("tcp", m.callers)
	if err != nil {
		return nil, err
	}
	if slow {
		_ = conn.(*net.TCPConn).SetReadBuffer(windowBytes)
	}
	r := &reader{conn: conn, sentAt: time.Now()}
	id := fmt.Sprintf("9c41d07b%08x", requestCount.Add(1))
	d.record.sent(id, "POST /draft/"+id, m.name)
	_, err = fmt.Fprintf(conn, "POST /draft/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Model: %s\r\n%s: 1460,%d\r\n%s: 5c1e07a2:1210,%s:250\r\n"+
		"X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nrota", id, host, requestIDHeader, id, modelName,
		tokensHeader, longStreams.pieces, prefixHeader, id[8:], patience.Milliseconds(), tenantKey)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	go d.read(r, id, slow)
	return r, nil
}

// read reads the answer to a reader's request.
func (d *deployment) read(r *reader, id string, slow bool) {
	defer r.ended.Store(true)
	size := windowBytes
	if slow {
		size = slowBytes
	}
	in := bufio.NewReaderSize(r.conn, size)
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		d.record.answered(id, 0, false, "no answer: "+err.Error())
		return
	}
	stamped := answer.Header.Get(stampHeader) == "stamp."+id
	if answer.StatusCode != http.StatusOK {
		d.record.answered(id, answer.StatusCode, stamped, "")
		return
	}
	total, piece := 0, make([]byte, size)
	for err == nil {
		if slow {
			time.Sleep(slowPause)
		}
		var n int
		n, err = answer.Body.Read(piece)
		total += n
	}
	detail := fmt.Sprintf("%d bytes, whole", total)
	if !errors.Is(err, io.EOF) {
		detail = fmt.Sprintf("%d bytes, then %v", total, err)
	}
	d.record.answered(id, http.StatusOK, stamped, detail)
}

// tries holds when new connections of clients were tried and whether a machine has taken them.
type tries struct {
	mu   sync.Mutex
	list []try
}

// try is a client's attempt to get a new connection. It is taken if the machine gives any answer on it.
type try struct {
	client int
	at     time.Time
	taken  bool
}

// connect lets newClients clients try to get new connections of a machine until ended is closed. Each sends a look-up.
func (d *deployment) connect(m *machine, ended chan struct{}) *tries {
	t := &tries{}
	for number := range newClients {
		go func() {
			client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				select {
				case <-ended:
					return
				case <-time.After(tryPause):
				}
				at := time.Now()
				status := d.send(client, m, false)
				t.mu.Lock()
				t.list = append(t.list, try{number, at, status > 0})
				t.mu.Unlock()
			}
		}()
	}
	return t
}

// longestRefusal returns the longest span from one try to another one between which no new connection was taken, though at
// least seven clients tried.
func (t *tries) longestRefusal() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := time.Duration(0)
	var first time.Time
	clients := map[int]bool{}
	for _, one := range t.list {
		if one.taken || len(clients) == 0 {
			first = one.at
			clear(clients)
		}
		if one.taken {
			continue
		}
		clients[one.client] = true
		if len(clients) >= seven {
			longest = max(longest, one.at.Sub(first))
		}
	}
	return longest
}

// isReady asks a machine every 100 ms whether it is ready until ended is closed, and records whether it always was.
func (d *deployment) isReady(m *machine, ended chan struct{}) *atomic.Bool {
	always := &atomic.Bool{}
	always.Store(true)
	go func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for {
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
			answer, err := client.Get("http://" + m.readiness + "/ready")
			if err != nil || answer.StatusCode != http.StatusOK {
				d.record.write("%s isn't ready: %v", m.name, err)
				always.Store(false)
			}
			if err == nil {
				_ = answer.Body.Close()
			}
		}
	}()
	return always
}

// slowReaders is case 9: clients that read slowly take all connections of a machine, which doesn't end their requests at the
// route's timeout.
func slowReaders(d *deployment, trouble bool) (bool, error) {
	const (
		engineCount = 12
		// every is the time between two streams, and length how long they are asked for: 10 a second, for 70 s.
		every, length = 100 * time.Millisecond, 70 * time.Second
	)
	for i := range engineCount {
		if _, err := newEngine(d.record, d.store, fmt.Sprintf("i-e00d41f%x", i), d.machines[i%len(d.machines)].zone, longStreams); err != nil {
			return false, err
		}
	}
	d.store.put(operatorTopic, "version/"+modelName, fmt.Sprintf(`{"model":%q,"version":1}`, modelName))
	time.Sleep(3 * time.Second)
	m := d.machines[0]
	ended := make(chan struct{})
	defer close(ended)
	new, ready := d.connect(m, ended), d.isReady(m, ended)
	var readers []*reader
	report := time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(every) {
		if r, err := d.askForStream(m, trouble); err == nil {
			readers = append(readers, r)
		}
		if time.Since(report) >= 5*time.Second {
			report = time.Now()
			d.describe(m, readers)
		}
	}
	for _, r := range readers {
		_ = r.conn.Close()
	}
	longest := new.longestRefusal()
	d.record.write("the longest time in which %s took no new connection, of %d clients that tried: %s; it was ready all the while: %t",
		m.name, newClients, longest.Round(time.Millisecond), ready.Load())
	return longest >= stableWindow && ready.Load(), nil
}

// describe records how many requests of readers a machine holds, and its memory.
func (d *deployment) describe(m *machine, readers []*reader) {
	open, late := 0, 0
	for _, r := range readers {
		if r.ended.Load() {
			continue
		}
		open++
		if time.Since(r.sentAt) > streamTimeout+500*time.Millisecond {
			late++
		}
	}
	memory := "unknown"
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			memory = strings.TrimSpace(value)
		}
	}
	d.record.write("%d streams asked for, %d not ended, %d of them 0.5 s after the route's timeout; peak memory of %s: %s", len(readers), open, late, m.name, memory)
}
