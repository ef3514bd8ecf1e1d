package sycplatform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/ground/sycpause"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// part identifies one of the platform's three services.
type part int

const (
	// logPart is the log of records.
	logPart part = iota
	// listPart is the list of VMs.
	listPart
	// storePart is the weight store.
	storePart
)

// Fault is a set of faults injected into one of the platform's services. The zero value
// injects none.
type Fault struct {
	// Out makes the service respond to every call with status 503.
	Out bool `json:"out"`
	// Hang holds every call without a response until Hang is cleared or the caller
	// closes the connection.
	Hang bool `json:"hang"`
	// Slow is how long every call is delayed before the service handles it.
	Slow sycrecord.Duration `json:"slow"`
}

// Faults holds the faults injected into each of the platform's services.
type Faults struct {
	// Log applies to appends to and reads of the log.
	Log Fault `json:"log"`
	// List applies to the list of VMs.
	List Fault `json:"list"`
	// Store applies to the weight store.
	Store Fault `json:"store"`
	// LoseAppends is how many of the next appends store their records but drop the
	// connection without a response. It counts down with each of them.
	LoseAppends int `json:"lose_appends"`
}

// SetFaults replaces the injected faults and wakes the calls that hang.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// fault returns the fault of a service and a channel that is closed when the faults
// change.
func (p *Platform) fault(of part) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch of {
	case logPart:
		return p.faults.Log, p.changed
	case listPart:
		return p.faults.List, p.changed
	default:
		return p.faults.Store, p.changed
	}
}

// takeLostAppend reports whether the response to the current append must be dropped, and
// if so counts it off LoseAppends.
func (p *Platform) takeLostAppend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAppends == 0 {
		return false
	}
	p.faults.LoseAppends--
	return true
}

// withFault returns a handler that applies the fault of a service before it calls next.
func (p *Platform) withFault(of part, next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		fault, changed := p.fault(of)
		for fault.Hang {
			select {
			case <-changed:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
			fault, changed = p.fault(of)
		}
		if fault.Out {
			return refuse(w, http.StatusServiceUnavailable, "out of service")
		}
		if !sycpause.For(r.Context(), time.Duration(fault.Slow)) {
			return nil
		}
		return next(w, r)
	}
}

// refusal is the body of an error response.
type refusal struct {
	Error string `json:"error"`
}

// refuse responds with an error status and a reason, and asks the caller to retry after
// 1 second.
func refuse(w http.ResponseWriter, status int, reason string) error {
	w.Header().Set("Retry-After", "1")
	return sycserver.WriteJSON(w, status, refusal{Error: reason})
}

// getFaults responds with the injected faults.
func (p *Platform) getFaults(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, p.Faults())
}

// postFaults sets the fields of Faults that the request body contains and keeps the
// others. It responds with the result.
func (p *Platform) postFaults(w http.ResponseWriter, r bunrouter.Request) error {
	faults := p.Faults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		return refuse(w, http.StatusBadRequest, err.Error())
	}
	p.SetFaults(faults)
	return sycserver.WriteJSON(w, http.StatusOK, faults)
}
