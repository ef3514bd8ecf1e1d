// Package sycadmit admits requests within their customer's rate and burst over
// all VMs. It drives the decisions of syclimit and sycslot on the control loop
// and carries loans between VMs.
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

// Lender asks another VM for tokens.
type Lender interface {
	Borrow(ctx context.Context, address string, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error)
}

// Settings tunes a Limiter.
type Settings struct {
	Limit syclimit.Settings
	Slot  sycslot.Settings
	// PublicRate and OpenBurst bound the requests on open routes that this VM
	// admits, in requests a second and requests.
	PublicRate  float64
	PublicBurst int
	// GrantTerm is the longest time between a grant and its use; a process that
	// was paused in between must ask again.
	GrantTerm time.Duration
	// MaxPeers bounds the VMs that are asked for tokens.
	MaxPeers int
	// TakeoverPeriod is the time between looks at slots that need a new holder.
	TakeoverPeriod time.Duration
}

// Defaults returns the settings with unset fields filled in.
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns the faults of the settings.
func (s Settings) Validate() error {
	if err := s.Limit.Validate(); err != nil {
		return err
	}
	if s.PublicRate <= 0 || s.PublicBurst <= 0 || s.GrantTerm <= 0 || s.MaxPeers < 0 || s.TakeoverPeriod <= 0 {
		return eris.New("limit settings: open rate, open burst, grant term and claim period must be above 0, peers not below")
	}
	return nil
}

// Options configures a Limiter.
type Options struct {
	Loop *sycloop.Loop
	// Config and System return the newest folded states; never nil.
	Config func() *sycconfig.State
	System func() *sycconfig.State
	// Roster is what is known of other VMs; it belongs to the loop.
	Roster *sycmember.Roster
	Lender Lender
	// Propose appends an operation to the system stream and waits until this VM
	// has folded it; nil claims no slots.
	Propose  func(ctx context.Context, op sycrecord.Operation) (sycconfig.Result, error)
	Self     sycmember.VM
	Settings Settings
}
