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

type part int

const (
	logPart part = iota
	listPart
	storePart
)

// Fault is what is wrong with one of the platform's services.
type Fault struct {
	// Out answers 503 to every call.
	Out bool `json:"out"`
	// Hang gives no answer until the fault ends or the caller goes away.
	Hang bool `json:"hang"`
	// Slow delays every call before it takes effect.
	Slow sycrecord.Duration `json:"slow"`
}

// Faults is what is wrong with the platform.
type Faults struct {
	Log   Fault `json:"log"`
	List  Fault `json:"list"`
	Store Fault `json:"store"`
	// LoseAppends is the number of coming appends that take effect and whose
	// answer is lost.
	LoseAppends int `json:"lose_appends"`
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
}

// Faults returns the present faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

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

// takeLostAppend reports whether the answer to this append is to be lost.
func (p *Platform) takeLostAppend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAppends == 0 {
		return false
	}
	p.faults.LoseAppends--
	return true
}

func (p *Platform) faulty(of part, next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
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

type refusal struct {
	Error string `json:"error"`
}

func refuse(w http.ResponseWriter, status int, reason string) error {
	w.Header().Set("Retry-After", "1")
	return sycserver.WriteJSON(w, status, refusal{Error: reason})
}

func (p *Platform) getFaults(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, p.Faults())
}

// postFaults changes the faults that the body names and keeps the others.
func (p *Platform) postFaults(w http.ResponseWriter, r bunrouter.Request) error {
	faults := p.Faults()
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		return refuse(w, http.StatusBadRequest, err.Error())
	}
	p.SetFaults(faults)
	return sycserver.WriteJSON(w, http.StatusOK, faults)
}
