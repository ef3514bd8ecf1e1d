package sycfeed_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
)

const (
	// modelStep is the time between two steps of a model.
	modelStep = 100 * time.Millisecond
	// modelReaders is how many of a model's VMs read the log.
	modelReaders = 2
	// modelKeys is the number of keys.
	modelKeys = 6
)

// restoreDelay is the deletion delay of the models.
var restoreDelay = sycfeed.DeletionDelay{AfterOutage: 2 * time.Second, NewDeletion: time.Second, AfterRestore: 2 * time.Second, Revival: 4 * time.Second}

// failing is the seed of the present model, for reports.
var failing int64

// modelVM is a VM of a model.
type modelVM struct {
	*sycfeed.Topic
	// shown holds the content of each key that the VM has applied, by its number.
	shown    map[string]int
	position map[string]sycfeed.Position
	// wanted is what the other VMs know of Wanted, by VM.
	wanted map[int]sycfeed.Position
	// cutUntil is until when the VM reaches neither the log nor other VMs.
	cutUntil time.Duration
}

// model is a log that is restored from copies, its writers and VMs that follow it.
type model struct {
	t    *testing.T
	rand *rand.Rand
	now  time.Duration
	era  int64
	log  []sycfeed.Record
	// logs holds the logs of the former eras.
	logs [][]sycfeed.Record
	// copies holds the log as it was, oldest first.
	copies [][]sycfeed.Record
	vms    []*modelVM
	// written numbers the contents and deletions that were ever acknowledged. at holds the
	// number of the record at each position, and newest the last of each key.
	written int
	at      map[sycfeed.Position]int
	newest  map[string]sycfeed.Record
	number  map[string]int
	// lostAt is when a restore first took a number from the log.
	lostAt map[int]time.Duration
	// again holds when a lost key is written again.
	again map[string]time.Duration
	// keepLost is set if the VMs keep what the log has lost. Then no key is deleted.
	keepLost bool
	trace    []string
}

func newModel(t *testing.T, seed int64, vms int) *model {
	m := &model{
		keepLost: seed%2 == 1,
		t:        t, rand: rand.New(rand.NewSource(seed)), now: time.Hour, at: map[sycfeed.Position]int{}, newest: map[string]sycfeed.Record{},
		number: map[string]int{}, lostAt: map[int]time.Duration{}, again: map[string]time.Duration{},
	}
	// Some logs count their eras from 1.
	if m.era = seed / 2 % 2; m.era > 0 {
		m.logs = append(m.logs, nil)
	}
	for range vms {
		m.vms = append(m.vms, m.start())
	}
	return m
}

// start returns a VM that has just started.
func (m *model) start() *modelVM {
	delay := restoreDelay
	delay.KeepLost = m.keepLost
	vm := &modelVM{Topic: sycfeed.New(delay), shown: map[string]int{}, position: map[string]sycfeed.Position{}, wanted: map[int]sycfeed.Position{}}
	vm.Ask(m.now)
	return vm
}

func (m *model) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprint(m.now-time.Hour, " ")+fmt.Sprintf(format, args...))
}

// append writes a record, new or again under its former number.
func (m *model) append(key string, value []byte, number int) {
	r := sycfeed.Record{Position: sycfeed.Position{Era: m.era, Offset: int64(len(m.log))}, Key: key, Value: value}
	m.log = append(m.log, r)
	m.at[r.Position], m.newest[key], m.number[key] = number, r, number
	delete(m.again, key)
	m.note("write %v %s=%s (%d)", r.Position, key, value, number)
}

// write writes new content of a key or deletes it.
func (m *model) write() {
	m.written++
	key := fmt.Sprint("k", m.rand.Intn(modelKeys))
	var value []byte
	if m.rand.Intn(4) > 0 || m.keepLost {
		value = fmt.Append(nil, m.written)
	}
	m.append(key, value, m.written)
}

// restore restores the log from a copy. Most of what it lacks is written again soon.
func (m *model) restore() {
	c := m.copies[max(0, len(m.copies)-1-m.rand.Intn(30))]
	lost := m.log
	m.logs = append(m.logs, lost)
	m.era++
	m.log = slices.Clone(c)
	m.note("restore to era %d, %d of %d records", m.era, len(c), len(lost))
	held := map[int]bool{}
	for _, r := range m.log {
		held[m.at[r.Position]] = true
	}
	for _, key := range slices.Sorted(maps.Keys(m.number)) {
		if !held[m.number[key]] && m.rand.Intn(4) > 0 {
			m.again[key] = m.now + time.Duration(m.rand.Intn(1500))*time.Millisecond
		}
	}
	for _, r := range lost {
		if n := m.at[r.Position]; !held[n] && m.lostAt[n] == 0 {
			m.lostAt[n] = m.now
		}
	}
}

// read lets a VM read the log.
func (m *model) read(i int) {
	vm := m.vms[i]
	log := slices.Clone(m.log)
	next := sycfeed.Position{Era: m.era, Offset: int64(len(log))}
	if from := vm.Next(); from.Era == m.era && vm.SnapshotEra() == m.era && vm.started() {
		m.show(i, vm.Read(m.now, m.current(log[from.Offset:], from.Offset), next))
		return
	}
	items := map[string]sycfeed.Record{}
	for _, r := range m.current(log, 0) {
		if items[r.Key] = r; len(r.Value) == 0 {
			delete(items, r.Key)
		}
	}
	var records, tail []sycfeed.Record
	for _, key := range slices.Sorted(maps.Keys(items)) {
		records = append(records, items[key])
	}
	if from, needed := vm.Probe(records, next); needed {
		tail = m.current(log[from.Offset:], from.Offset)
	}
	m.note("VM %d takes a snapshot at %v, before at %v", i, next, vm.Next())
	vm.shown[""] = 1
	m.show(i, vm.Replace(m.now, records, next, tail...))
}

// started reports whether the VM has taken a snapshot.
func (vm *modelVM) started() bool { return vm.shown[""] == 1 }

// current returns records as the log of the present era gives them out.
func (m *model) current(records []sycfeed.Record, first int64) []sycfeed.Record {
	var out []sycfeed.Record
	for i, r := range records {
		r.Position = sycfeed.Position{Era: m.era, Offset: first + int64(i)}
		out = append(out, r)
	}
	return out
}

// send lets a VM send its records to another, and report what it wants.
func (m *model) send(from, to int) {
	a, b := m.vms[from], m.vms[to]
	if since, reported := a.wanted[to]; reported {
		p := a.Page(since, 4)
		if len(p.Records) > 0 || p.Complete && b.Next().Before(p.Next) && !b.Next().Before(since) {
			m.show(to, b.ApplyPage(m.now, p))
		}
		if !a.Asks(m.now) {
			m.show(to, b.Answered(m.now, fmt.Sprint(from), since, p))
		}
	}
	b.wanted[from] = a.Wanted(m.now, fmt.Sprint(to))
}

// show checks and records what a VM applies: content that was acknowledged goes back to an older
// one only once it was lost for the delay.
func (m *model) show(i int, changes []sycfeed.Change) {
	vm := m.vms[i]
	for _, c := range changes {
		number := 0
		switch {
		case len(c.Value) > 0:
			number = numberOf(string(c.Value))
		default:
			// The deletion of a key that a snapshot leaves out stands at the snapshot's end.
			for _, r := range append(m.logs, m.log)[c.Position.Era][:c.Position.Offset+1] {
				if r.Key == c.Key {
					number = m.at[r.Position]
				}
			}
		}
		old := vm.shown[c.Key]
		// A VM that lags behind may not know yet of which era its content is.
		if number < old && m.at[vm.position[c.Key]] == old {
			lost, isLost := m.lostAt[old]
			must.True(m.t, isLost && m.now >= lost+restoreDelay.AfterRestore, must.Sprintf(
				"VM %d: %s goes back from %d to %d at %v by %+v\n%s", i, c.Key, old, number, m.now-time.Hour, c, m.history()))
		}
		m.note("VM %d shows %s %d at %v, inferred %v", i, c.Key, number, c.Position, c.Inferred)
		vm.shown[c.Key], vm.position[c.Key] = number, c.Position
	}
}

func (m *model) history() string {
	return fmt.Sprint("seed ", failing, "\n") + strings.Join(m.trace, "\n")
}

// step lets VMs read and exchange records. All VMs do if calm is set.
func (m *model) step(calm bool) {
	m.now += modelStep
	m.copies = append(m.copies, slices.Clone(m.log))
	for _, key := range slices.Sorted(maps.Keys(m.again)) {
		if m.now >= m.again[key] {
			m.append(key, m.newest[key].Value, m.number[key])
		}
	}
	for i, vm := range m.vms {
		if !calm && m.now < vm.cutUntil {
			continue
		}
		if i < modelReaders && (calm || m.rand.Intn(4) > 0) || !vm.started() {
			m.read(i)
		}
		other := m.rand.Intn(len(m.vms))
		if other != i && (calm || m.now >= m.vms[other].cutUntil) {
			m.send(i, other)
			m.send(other, i)
		}
		m.show(i, vm.ApplyDelayed(m.now))
	}
}

// numberOf returns the number of a content.
func numberOf(content string) int {
	number, _ := strconv.Atoi(content)
	return number
}

// check requires that all VMs hold what the log holds, or the same newer content if they keep that.
func (m *model) check() {
	want := map[string]string{}
	for _, r := range m.log {
		want[r.Key] = string(r.Value)
	}
	for i, vm := range m.vms {
		got := map[string]string{}
		for _, r := range vm.Since(sycfeed.Position{}) {
			got[r.Key] = string(r.Value)
		}
		for k := range modelKeys {
			key := fmt.Sprint("k", k)
			if m.keepLost && i == 0 && numberOf(got[key]) >= numberOf(want[key]) {
				want[key] = got[key]
			}
			must.Eq(m.t, want[key], got[key], must.Sprintf("VM %d, %s at %v\n%s", i, key, m.now-time.Hour, m.history()))
		}
	}
}

// TestRestoredLogNeverTakesBackWhatWasAcknowledged lets VMs, some of which lag behind or have just
// started, follow a log that is restored twice in random histories.
func TestRestoredLogNeverTakesBackWhatWasAcknowledged(t *testing.T) {
	for seed := range int64(200) {
		failing = seed
		m := newModel(t, seed, 5)
		restores := []int{40 + m.rand.Intn(10), 50 + m.rand.Intn(30)}
		for step := range 100 {
			if m.rand.Intn(2) == 0 {
				m.write()
			}
			if slices.Contains(restores, step) {
				m.restore()
			}
			switch i := m.rand.Intn(len(m.vms)); m.rand.Intn(30) {
			case 0:
				m.vms[i].cutUntil = m.now + time.Duration(m.rand.Intn(2000))*time.Millisecond
			case 1:
				m.note("VM %d starts", i)
				m.vms[i] = m.start()
				for _, vm := range m.vms {
					delete(vm.wanted, i)
				}
			}
			m.step(false)
		}
		for range 80 {
			m.step(true)
		}
		m.check()
	}
}

// TestRecordsOfANewEraCountAtOnce guards against records that are written after a restore and count late, since a
// VM that has read all of the log can't tell them from those of the copy.
func TestRecordsOfANewEraCountAtOnce(t *testing.T) {
	for _, first := range []int64{0, 1, 5} {
		r := func(era, offset int64, key, value string) sycfeed.Record {
			return sycfeed.Record{Position: sycfeed.Position{Era: era, Offset: offset}, Key: key, Value: []byte(value)}
		}
		topic := sycfeed.New(restoreDelay)
		topic.Replace(0, []sycfeed.Record{r(first, 0, "a", "1"), r(first, 1, "b", "1")}, sycfeed.Position{Era: first, Offset: 2})
		topic.Read(0, []sycfeed.Record{r(first, 2, "a", "2"), r(first, 3, "b", "2"), r(first, 4, "c", "1")}, sycfeed.Position{Era: first, Offset: 5})
		changes := topic.Replace(time.Second, []sycfeed.Record{
			r(first+1, 1, "b", "1"), r(first+1, 2, "a", "3"), r(first+1, 3, "c", "2"),
		}, sycfeed.Position{Era: first + 1, Offset: 4})
		must.Eq(t, []string{"a", "c"}, keys(changes), must.Sprintf("first era %d", first))
	}
}
