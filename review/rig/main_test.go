//go:build review

package rig

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// theCase is a case: the rule that it is about, and what it does.
type theCase struct {
	rule string
	play func(d *deployment, trouble bool)
}

var cases = map[string]theCase{
	"1": {"TWICE", lateVersions},
	"2": {"MIXED", lateOrders},
	"3": {"ONE", heldOrder},
	"4": {"REFUSED", lateSheds},
	"5": {"TWICE", lateEvents},
}

// TestMain runs the case that the first argument names, and writes its record to the file that the second names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fail("usage: rig CASE RECORD")
	}
	c, trouble := cases[os.Args[1]], os.Getenv("TROUBLE") != "0"
	r := newRecord()
	d := newDeployment(r)
	c.play(d, trouble)
	d.close()
	broken := r.judge()
	verdict := []string{fmt.Sprintf("case %s, trouble %t: %d requests sent, rule %s broken %d times", os.Args[1], trouble, len(r.sent), c.rule, len(broken[c.rule]))}
	rules := []string{}
	for rule := range broken {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	for _, rule := range rules {
		for _, text := range broken[rule] {
			verdict = append(verdict, rule+": "+text)
		}
	}
	for _, w := range d.workers {
		verdict = append(verdict, fmt.Sprintf("worker %s: %d answers, %d of them while garbling, %d extra copies; %d orders, %d left unanswered", w.id, w.answers, w.counted, w.copies, w.orders, w.unsaid))
	}
	for _, line := range verdict {
		fmt.Println(line)
	}
	r.write(os.Args[2], verdict)
	if len(broken[c.rule]) > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// start starts a deployment with engines and plain workers in one zone, and waits until it serves.
func (d *deployment) begin(vms, engines, apps int) {
	for i := range engines {
		w := newWorker(d.record, fmt.Sprintf("i-engine%d", i), "model-pool", model, "zakopane")
		w.link = newLink(w.listener.Addr().String())
		d.workers = append(d.workers, w)
	}
	for i := range apps {
		d.workers = append(d.workers, newWorker(d.record, fmt.Sprintf("i-app%d", i), "rota-app", "", "zakopane"))
	}
	d.store.Put(operatorTopic, "config", config(1))
	d.store.Put(operatorTopic, "version/"+model, `{"model":"`+model+`","version":1}`)
	go d.beat()
	for range vms {
		d.addVM("zakopane")
	}
	d.startVMs()
	d.awaitReady()
	time.Sleep(3 * time.Second)
}

// draftSize and checkSize return the tokens of a request within the sheet.
func draftSize() (in, out int) { return 12000 + rand.IntN(20000), 76 + rand.IntN(100) }
func checkSize() (in, out int) { return 1200 + rand.IntN(1200), 5 }

// lateEvents lets half of the engines send an extra copy of an answer to a call for cache events, late, at the point
// where the next answer is expected.
func lateEvents(d *deployment, trouble bool) {
	d.begin(2, 4, 2)
	for i, w := range d.workers[:4] {
		w.mu.Lock()
		w.faulty = trouble && i%2 == 0
		w.pick = func(kind string) bool { return kind == "events" }
		w.mu.Unlock()
	}
	var wait sync.WaitGroup
	until := time.Now().Add(80 * time.Second)
	d.load(&wait, "rota-draft", 18, until, draftSize)
	d.load(&wait, "lot-check", 12, until, checkSize)
	wait.Wait()
}

// lateVersions names new weights every 3.2 seconds. An engine that has just loaded them answers requests that name the
// weights of before with 421. One of the two engines sends an extra copy of such an answer, late, at the point where the
// next answer is expected.
func lateVersions(d *deployment, trouble bool) { d.bumps(trouble, "version") }

// lateOrders does the same with extra copies of the answers to orders.
func lateOrders(d *deployment, trouble bool) { d.bumps(trouble, "order") }

// bumps names new weights every 3.2 seconds. One of the two engines sends extra copies of its answers of a kind.
func (d *deployment) bumps(trouble bool, faulty string) {
	d.begin(4, 2, 2)
	w := d.workers[0]
	w.mu.Lock()
	w.faulty = trouble
	w.pick = func(kind string) bool { return kind == faulty }
	w.mu.Unlock()
	var wait sync.WaitGroup
	until := time.Now().Add(78 * time.Second)
	d.load(&wait, "rota-draft", 1, until, draftSize)
	d.load(&wait, "lot-check", 60, until, checkSize)
	time.Sleep(6 * time.Second)
	for version := 2; time.Until(until) > 4*time.Second; version++ {
		d.nameWeights(version)
		time.Sleep(3200 * time.Millisecond)
	}
	wait.Wait()
}

// lateSheds lets bookings come in clumps, of which full workers shed some. One of the two workers sends an extra copy of
// such an answer, late, at the point where the next answer is expected.
func lateSheds(d *deployment, trouble bool) {
	d.begin(4, 1, 2)
	w := d.workers[1]
	w.mu.Lock()
	w.faulty = trouble
	w.pick = func(kind string) bool { return kind == "shed" }
	w.mu.Unlock()
	var wait sync.WaitGroup
	none := func() (int, int) { return 0, 0 }
	until := time.Now().Add(45 * time.Second)
	d.load(&wait, "slot-book", 40, until, none)
	d.load(&wait, "slot-read", 20, until, none)
	for time.Now().Before(until) {
		time.Sleep(2 * time.Second)
		for i := range 100 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				d.send(d.vms[i%len(d.vms)], "slot-book", 0, 0)
			}()
		}
	}
	wait.Wait()
}

// heldOrder stops the machine that holds the duties, as a planned restart does, just after the link between it and a
// worker has lost an order. The order is sent again by the kernel, and arrives after the next holder's.
func heldOrder(d *deployment, trouble bool) {
	d.begin(4, 3, 2)
	var once sync.Mutex
	armed := false
	stopped := make(chan *vm, 1)
	for _, w := range d.workers[:3] {
		w.link.mu.Lock()
		w.link.onOrder = func(holder string) time.Duration {
			once.Lock()
			defer once.Unlock()
			v := d.machine(holder)
			if !armed || v == nil {
				return 0
			}
			armed = false
			d.record.note("the link from %s to %s loses packets for %v: the order is sent again after %v", v.name, w.id, lostFor, sentAgain)
			stopped <- v
			return sentAgain
		}
		w.link.mu.Unlock()
	}
	var wait sync.WaitGroup
	until := time.Now().Add(84 * time.Second)
	d.load(&wait, "lot-check", 4, until, checkSize)
	time.Sleep(5 * time.Second)
	for version := 2; time.Until(until) > 12*time.Second; version++ {
		once.Lock()
		armed = trouble
		once.Unlock()
		d.nameWeights(version)
		select {
		case v := <-stopped:
			d.record.note("%s gets SIGTERM", v.name)
			_ = v.command.Process.Signal(syscall.SIGTERM)
			d.restartEnded(v)
		case <-time.After(6 * time.Second):
			once.Lock()
			armed = false
			once.Unlock()
		}
		time.Sleep(4 * time.Second)
	}
	wait.Wait()
}

// lostFor is how long the link loses packets, and sentAgain when TCP sends the order again after that: it does so 0.2, 0.6
// and 1.4 seconds after the first time.
const (
	lostFor   = 700 * time.Millisecond
	sentAgain = 1400 * time.Millisecond
)

// machine returns the VM that a holder is a process of.
func (d *deployment) machine(holder string) *vm {
	for _, v := range d.vms {
		if strings.HasPrefix(holder, v.name+"/") {
			return v
		}
	}
	return nil
}

// restartEnded waits until a VM that was told to stop has ended, and starts it again, as the platform does.
func (d *deployment) restartEnded(v *vm) {
	select {
	case <-v.exited:
	case <-time.After(8 * time.Second):
		_ = v.command.Process.Kill()
		<-v.exited
	}
	_ = v.log.Close()
	time.Sleep(300 * time.Millisecond)
	text, err := os.ReadFile(v.settings)
	if err != nil {
		fail("settings: %v", err)
	}
	later := strings.Replace(string(text), "first_start = true", "first_start = false", 1)
	if err := os.WriteFile(v.settings, []byte(later), 0o600); err != nil {
		fail("settings: %v", err)
	}
	d.startVM(v)
}

// nameWeights names new weights, as the operator does.
func (d *deployment) nameWeights(version int) {
	d.record.note("the operator names version %d of the weights", version)
	d.store.Put(operatorTopic, "version/"+model, fmt.Sprintf(`{"model":%q,"version":%d}`, model, version))
}

// freeze stops a VM's process for a time.
func (d *deployment) freeze(v *vm, for_ time.Duration) {
	d.record.note("%s stands still for %v", v.name, for_)
	_ = v.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(for_)
	_ = v.command.Process.Signal(syscall.SIGCONT)
	d.record.note("%s goes on", v.name)
}
