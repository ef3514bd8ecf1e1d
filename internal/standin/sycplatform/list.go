package sycplatform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// VM is an entry of the VM list.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

type listChange struct {
	at time.Time
	id string
	// vm is nil when the VM was removed.
	vm *VM
}

// list answers with the state of a while ago.
type list struct {
	lag time.Duration
	mu  sync.Mutex
	// visible is the state before every change in pending.
	visible map[string]VM
	// pending holds the changes in the order of their times.
	pending []listChange
}

func newList(lag time.Duration) *list {
	return &list{lag: lag, visible: map[string]VM{}}
}

func (l *list) change(id string, vm *VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listChange{at: time.Now(), id: id, vm: vm})
}

type listAnswer struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

func (l *list) at(asOf time.Time) listAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.After(asOf) {
		first := l.pending[0]
		l.pending = l.pending[1:]
		if first.vm == nil {
			delete(l.visible, first.id)
			continue
		}
		l.visible[first.id] = *first.vm
	}
	answer := listAnswer{AsOf: asOf, VMs: []VM{}}
	for _, id := range slices.Sorted(maps.Keys(l.visible)) {
		answer.VMs = append(answer.VMs, l.visible[id])
	}
	return answer
}

func (l *list) get(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, l.at(time.Now().Add(-l.lag)))
}

func (l *list) put(w http.ResponseWriter, r bunrouter.Request) error {
	var vm VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		return refuse(w, http.StatusBadRequest, err.Error())
	}
	if vm.State != "live" && vm.State != "leaving" {
		return refuse(w, http.StatusBadRequest, "state must be live or leaving")
	}
	vm.ID = r.Param("id")
	l.change(vm.ID, &vm)
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (l *list) remove(w http.ResponseWriter, r bunrouter.Request) error {
	l.change(r.Param("id"), nil)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
