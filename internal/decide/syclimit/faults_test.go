package syclimit_test

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

// randomTime returns a time within the run.
func (fl *fleet) randomTime() time.Duration { return time.Duration(fl.rng.Int64N(int64(fl.f.length))) }

func (fl *fleet) randomVM() *vm { return fl.vms[fl.rng.IntN(len(fl.vms))] }

// scheduleFaults schedules the faults of the run at random times.
func (fl *fleet) scheduleFaults() {
	for range fl.f.pauses {
		v, span := fl.randomVM(), time.Duration(fl.rng.Int64N(int64(3*time.Second)))
		fl.after(fl.randomTime(), func() { v.paused = max(v.paused, fl.now+span) })
	}
	for range fl.f.crashes {
		v := fl.randomVM()
		fl.after(fl.randomTime(), func() { fl.restart(v, time.Duration(fl.rng.Int64N(int64(500*time.Millisecond)))) })
	}
	if fl.f.restartAll {
		fl.after(fl.f.length/2, func() {
			for _, v := range fl.vms {
				fl.restart(v, 100*time.Millisecond)
			}
		})
	}
	for range fl.f.fractionMoves {
		fl.after(fl.randomTime(), func() { fl.moveFraction(fl.randomVM(), fl.randomVM()) })
	}
	for range fl.f.spikes {
		count := 1 + fl.rng.IntN(20)
		fl.after(fl.randomTime(), func() { fl.spike(count) })
	}
	for range fl.f.limitChanges {
		rate, burst := fl.f.rate*fl.rng.Float64(), fl.f.burst*fl.rng.Float64()
		fl.after(fl.randomTime(), func() { fl.changeLimit(rate, burst) })
	}
}

// moveFraction takes half of a VM's fraction away and then gives it to another VM.
func (fl *fleet) moveFraction(from, to *vm) {
	if from == to || from.down || to.down {
		return
	}
	from.handle(func(now time.Duration) {
		part := from.fraction / 2
		from.fraction -= part
		from.act(from.machine.SetFraction(now, from.fraction))
		to.fraction += part
		if !to.down && to.paused <= fl.now {
			to.act(to.machine.SetFraction(to.local(), to.fraction))
		}
	})
}

// spike sends a number of requests to every VM at once.
func (fl *fleet) spike(count int) {
	for _, v := range fl.vms {
		for range count {
			v.admit()
		}
	}
}

// restart stops a VM's process and starts a new one after a gap.
func (fl *fleet) restart(v *vm, gap time.Duration) {
	v.down = true
	v.incarnation++
	fl.after(gap, func() {
		if v.down {
			v.start()
		}
	})
}

// changeLimit publishes a limit no higher than that of the scenario. Each VM applies it
// within two seconds.
func (fl *fleet) changeLimit(rate, burst float64) {
	fl.rate, fl.burst = rate, burst
	for _, v := range fl.vms {
		fl.after(time.Duration(fl.rng.Int64N(int64(2*time.Second))), func() {
			v.handle(func(now time.Duration) {
				v.limit = syclimit.NewLimit(rate, burst, now)
				v.act(v.machine.SetLimit(now, customer, v.limit, true))
			})
		})
	}
}
