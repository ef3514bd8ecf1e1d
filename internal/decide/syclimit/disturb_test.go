package syclimit_test

import (
	"time"

	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
)

func (fl *fleet) anyTime() time.Duration { return time.Duration(fl.rng.Int64N(int64(fl.f.length))) }

func (fl *fleet) anyVM() *vm { return fl.vms[fl.rng.IntN(len(fl.vms))] }

func (fl *fleet) disturb() {
	for range fl.f.pauses {
		v, span := fl.anyVM(), time.Duration(fl.rng.Int64N(int64(3*time.Second)))
		fl.after(fl.anyTime(), func() { v.paused = max(v.paused, fl.now+span) })
	}
	for range fl.f.crashes {
		v := fl.anyVM()
		fl.after(fl.anyTime(), func() { fl.restart(v, time.Duration(fl.rng.Int64N(int64(500*time.Millisecond)))) })
	}
	if fl.f.herd {
		fl.after(fl.f.length/2, func() {
			for _, v := range fl.vms {
				fl.restart(v, 100*time.Millisecond)
			}
		})
	}
	for range fl.f.moves {
		fl.after(fl.anyTime(), func() { fl.move(fl.anyVM(), fl.anyVM()) })
	}
	for range fl.f.flashes {
		count := 1 + fl.rng.IntN(20)
		fl.after(fl.anyTime(), func() { fl.flash(count) })
	}
	for range fl.f.changes {
		rate, burst := fl.f.rate*fl.rng.Float64(), fl.f.burst*fl.rng.Float64()
		fl.after(fl.anyTime(), func() { fl.change(rate, burst) })
	}
}

// move takes half a VM's fraction away and then gives it to another VM.
func (fl *fleet) move(from, to *vm) {
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

func (fl *fleet) flash(count int) {
	for _, v := range fl.vms {
		for range count {
			v.admit()
		}
	}
}

func (fl *fleet) restart(v *vm, gap time.Duration) {
	v.down = true
	v.incarnation++
	fl.after(gap, func() {
		if v.down {
			v.start()
		}
	})
}

// change publishes limits no higher than those of the faults.
func (fl *fleet) change(rate, burst float64) {
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
