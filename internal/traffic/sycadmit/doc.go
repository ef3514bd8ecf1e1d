// Package sycadmit limits the requests of each customer to its rate and burst over all
// VMs together. Package syclimit decides which requests get a permit, and package
// sycslot which part of the rates this VM accrues. This package runs both on the control
// loop, and sends and answers requests for loans of permits between VMs.
//
// A permit admits one request. A rate slot is a named fraction of every customer's rate
// and burst. The VM that holds a slot accrues that fraction. In a takeover, a VM becomes
// the holder of a slot whose VM is removed or leaving. It accrues the slot only when the other
// VMs have confirmed that, by reporting that they have applied the records that take the slot
// away from its former holder.
//
// Two streams of the platform's log hold the state that VMs share: the config stream has the
// records of operators, such as customers, the system stream those of VMs, such as the holders
// of rate slots.
package sycadmit

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"sycamorecart.example/sycamorecart/internal/decide/sycconfig"
	"sycamorecart.example/sycamorecart/internal/decide/syclimit"
	"sycamorecart.example/sycamorecart/internal/decide/sycmember"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/decide/sycslot"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

var log = syclogging.New("limits")

// Lender requests loans of permits from other VMs.
type Lender interface {
	// Borrow sends a request for a loan to the VM at an address and returns its reply.
	Borrow(ctx context.Context, address string, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error)
}

// Settings holds the limits and times of a Limiter.
type Settings struct {
	// Limit configures the rate limiter.
	Limit syclimit.Settings
	// Slot sets the timing of takeovers.
	Slot sycslot.Settings
	// PublicRate and PublicBurst limit the requests on public routes (those that need no
	// key) that this VM admits, in requests per second and in requests.
	PublicRate  float64
	PublicBurst int
	// GrantTerm is the longest time between the grant of a permit and its use. After
	// that, for example after a process pause, the request must get another permit.
	GrantTerm time.Duration
	// MaxPeers limits the number of VMs from which this VM borrows permits.
	MaxPeers int
	// TakeoverPeriod is the time between checks for rate slots that this VM should take
	// over.
	TakeoverPeriod time.Duration
}

// Defaults returns the settings with unset fields set to their defaults.
func (s Settings) Defaults() Settings {
	s.Limit = s.Limit.Defaults()
	s.Slot = s.Slot.Defaults()
	setDefault(&s.PublicRate, 1000)
	setDefault(&s.PublicBurst, 1000)
	setDefault(&s.GrantTerm, 250*time.Millisecond)
	setDefault(&s.MaxPeers, 32)
	setDefault(&s.TakeoverPeriod, time.Second)
	return s
}

// setDefault sets a field to a value if the field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error if a setting is out of its range.
func (s Settings) Validate() error {
	if err := s.Limit.Validate(); err != nil {
		return err
	}
	if s.PublicRate <= 0 || s.PublicBurst <= 0 || s.GrantTerm <= 0 || s.MaxPeers < 0 || s.TakeoverPeriod <= 0 {
		return eris.New("limit settings: public rate, public burst, grant term and takeover period must be above 0, max peers must not be below 0")
	}
	return nil
}

// Options configures a Limiter.
type Options struct {
	// Loop is the control loop, on which all decisions run.
	Loop *sycloop.Loop
	// Config and System return the newest states that this VM has applied from the config
	// and system streams. They never return nil.
	Config func() *sycconfig.State
	System func() *sycconfig.State
	// Roster holds the other VMs. Only the control loop may access it.
	Roster *sycmember.Roster
	// Lender requests loans of permits from other VMs.
	Lender Lender
	// Propose appends an operation to the system stream and waits until this VM has
	// applied it. If it is nil, this VM takes over no rate slots.
	Propose func(ctx context.Context, op sycrecord.Operation) (sycconfig.Result, error)
	// Self identifies this VM.
	Self sycmember.VM
	// Settings may have unset fields, which get their defaults.
	Settings Settings
}
