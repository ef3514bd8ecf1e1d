//go:build review

// Package standins2_test plays one of the cases 6 to 10 of the review: a small deployment of the project's own program, with
// stand-ins for the platform's store, the workers and the clients. All addresses are loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package standins2_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by number. Each returns whether the rule was broken, and says so in the record.
var cases = map[int]func(d *deployment, trouble bool) (bool, error){
	6: foreignEntry,
	7: foreignService,
	8: interruptedStreams,
}

// TestMain plays a case. The program is made of test files, since the tests of the layers read all others.
func TestMain(*testing.M) {
	number := flag.Int("n", 0, "the case's `number`")
	program := flag.String("vm", "target/sycamorecart", "the `program` of a VM")
	path := flag.String("record", "record.txt", "the `file` of the record")
	flag.Parse()
	code, err := play(*number, *program, *path, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(code)
}

// play plays a case and returns the exit code.
func play(number int, program, path string, trouble bool) (int, error) {
	run := cases[number]
	if run == nil {
		return failed, fmt.Errorf("there is no case %d", number)
	}
	out, err := os.Create(path)
	if err != nil {
		return failed, err
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return failed, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := newRecord(out)
	r.write("case %d, trouble %t", number, trouble)
	d, err := newDeployment(r, program, dir)
	if d != nil {
		defer d.kill()
		endOnSignal(d)
	}
	if err != nil {
		return failed, err
	}
	isBroken, err := run(d, trouble)
	if err != nil {
		return failed, err
	}
	if isBroken {
		r.write("the rule was BROKEN")
		fmt.Println("broken")
		return broken, nil
	}
	r.write("the rule held")
	fmt.Println("held")
	return held, nil
}

// endOnSignal ends the machines' processes, and this one with the code failed, if this one is told to end.
func endOnSignal(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		for _, m := range d.machines {
			if m.process != nil && m.process.Process != nil {
				_ = m.process.Process.Kill()
			}
		}
		os.Exit(failed)
	}()
}

// errCalm means that the deployment doesn't serve without a disruption.
var errCalm = errors.New("requests fail before the disruption")

// calm plays traffic for a time and fails unless all requests are served.
func (d *deployment) calm(length time.Duration) (stop func(), err error) {
	from := time.Now()
	stop = d.clients()
	time.Sleep(length)
	now := time.Now()
	notServed := d.record.count(from, func(o *outcome) bool { return now.Sub(o.sentAt) > deadline && (o.status != 200 || !o.stamped) })
	if notServed > 0 {
		stop()
		return nil, errCalm
	}
	return stop, nil
}

// foreignEntry is case 6: another writer's entry with missing fields names a server of another system.
func foreignEntry(d *deployment, trouble bool) (bool, error) {
	f, err := newForeign(d.record)
	if err != nil {
		return false, err
	}
	stop, err := d.calm(5 * time.Second)
	if err != nil {
		return false, err
	}
	from := time.Now()
	if trouble {
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":6,"state":"ready"}`, appName, f.address, d.machines[0].zone)
		d.record.write("another writer writes servers/x-1: %s", entry)
		go keepEntry(d.store, "x-1", func() string { return entry })
	}
	time.Sleep(20 * time.Second)
	stop()
	all := d.record.count(from, func(*outcome) bool { return true })
	foreign := d.record.count(from, func(o *outcome) bool { return o.foreignRuns > 0 })
	lost := d.record.count(from, func(o *outcome) bool { return o.foreignRuns > 0 && o.runs == 0 })
	d.record.write("%d requests; the other system's server ran %d of them, %d of which no worker ran", all, foreign, lost)
	return foreign > 0, nil
}

// foreignService is case 7: entries of a service that isn't named, with the addresses of workers, from another writer.
func foreignService(d *deployment, trouble bool) (bool, error) {
	const recover = 12 * time.Second
	stop, err := d.calm(5 * time.Second)
	if err != nil {
		return false, err
	}
	d.record.write("final fault: all processes are killed")
	d.kill()
	if trouble {
		for i, w := range d.workers {
			entry := fmt.Sprintf(`{"service":"fleet-metrics","address":%q,"zone":%q,"version":"v1","slots":1,"state":"ready","coldRemainingMs":0,"seq":1,"born":%d}`,
				w.address, w.zone, time.Now().UnixMilli())
			d.record.write("another writer writes servers/x-%d: %s", i, entry)
			go keepEntry(d.store, fmt.Sprint("x-", i), func() string { return entry })
		}
	}
	time.Sleep(time.Second)
	if err := d.start(false); err != nil {
		return false, err
	}
	time.Sleep(recover)
	from := time.Now()
	time.Sleep(15 * time.Second)
	stop()
	all := d.record.count(from, func(*outcome) bool { return true })
	served := d.record.count(from, func(o *outcome) bool { return o.status == 200 && o.stamped })
	d.record.write("of %d requests sent later than %s after the machines were back, %d were served; a quarter is the least", all, recover, served)
	return all == 0 || 4*served < all, nil
}

// interruptedStreams is case 8: streams that the holder's orders break off, though no engine can go on with them.
func interruptedStreams(d *deployment, trouble bool) (bool, error) {
	const (
		engineCount, streamClients = 2, 30
		length                     = 30 * time.Second
	)
	d.record.write("%d engines, %d clients", engineCount, streamClients)
	for i := range engineCount {
		if _, err := newEngine(d.record, d.store, fmt.Sprintf("i-e00d41f%d", i), d.machines[i%len(d.machines)].zone); err != nil {
			return false, err
		}
	}
	newest := func(version int) {
		d.record.write("new weights: version %d", version)
		d.store.put(operatorTopic, "version/"+modelName, fmt.Sprintf(`{"model":%q,"version":%d}`, modelName, version))
	}
	newest(1)
	time.Sleep(3 * time.Second)
	began := time.Now()
	stop := d.streams(streamClients)
	// The site's day quiet-1 names new weights at these times.
	for i, at := range []time.Duration{2000, 5200, 8400, 11600, 20500, 24500} {
		time.Sleep(time.Until(began.Add(at * time.Millisecond)))
		if trouble {
			newest(2 + i)
		}
	}
	time.Sleep(time.Until(began.Add(length)))
	stop()
	most := 0
	for _, m := range d.machines {
		n := d.record.count(time.Time{}, func(o *outcome) bool { return o.cut && o.machine == m.name })
		d.record.write("%s closed %d connections, kept before, within an answer that had begun at a sound engine", m.name, n)
		most = max(most, n)
	}
	return most > 3, nil
}
