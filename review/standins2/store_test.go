//go:build review

package standins2_test

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for a call.
const answerTime = 4 * time.Millisecond

// lengthSize is the size of the length before each record.
const lengthSize = 4

// store is a stand-in of the platform's metadata store: append, read and the newest record of each key. Each
// topic has one partition, and all records are kept.
type store struct {
	address string
	mu      sync.Mutex
	topics  map[string]*topic
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// topic is a log of records. newest holds the newest record of each key of a keyed topic.
type topic struct {
	records [][]byte
	newest  map[string]keyed
}

// keyed is the newest record of a key.
type keyed struct {
	offset int64
	value  []byte
}

// newStore starts an empty store on a free loopback port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: map[string]*topic{}, appended: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// topic returns a topic, which it creates if there is none. The caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

// put writes the value of a key. An empty value deletes the key.
func (s *store) put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, slices.Concat([]byte{byte(len(key))}, []byte(key), []byte(value)))
}

// add appends a record. The caller holds mu.
func (s *store) add(name string, record []byte) {
	t := s.topic(name)
	if strings.HasPrefix(name, "keyed.") {
		length := int(record[0])
		key, value := string(record[1:1+length]), record[1+length:]
		delete(t.newest, key)
		if len(value) > 0 {
			t.newest[key] = keyed{int64(len(t.records)), value}
		}
	}
	t.records = append(t.records, record)
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	switch r.Method + " " + r.URL.Path {
	case http.MethodPost + " " + appendPath:
		s.append(w, r, body)
	case "GET /log-read":
		s.read(w, r)
	case http.MethodGet + " " + newestPath:
		s.list(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append appends the records of a call, at the offset that it names.
func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	name, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	var records [][]byte
	for len(body) >= lengthSize {
		length := int(binary.BigEndian.Uint32(body))
		if len(body) < lengthSize+length {
			break
		}
		records = append(records, body[lengthSize:lengthSize+length])
		body = body[lengthSize+length:]
	}
	for _, record := range records {
		if strings.HasPrefix(name, "keyed.") && (len(record) == 0 || len(record) < 1+int(record[0])) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topic(name).records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"endOffset": end})
		return
	}
	for _, record := range records {
		s.add(name, record)
	}
	reply(w, http.StatusOK, map[string]int64{"offset": end, "endOffset": end + int64(len(records))})
}

// read answers with the records from an offset on, as soon as there is one.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, appended := s.topic(r.URL.Query().Get("topic")).records, s.appended
		s.mu.Unlock()
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range records[min(from, int64(len(records))):] {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
		}
		waits := from >= int64(len(records))
		if waits {
			select {
			case <-appended:
				continue
			case <-over:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = w.Write(out)
		return
	}
}

// list answers with the newest record of each key, in pages of 500.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, k := range t.newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(k.value), k.offset})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page := items[:min(len(items), 500)]
	reply(w, http.StatusOK, map[string]any{"items": page, "hasMore": len(page) < len(items), "endOffset": len(t.records)})
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
