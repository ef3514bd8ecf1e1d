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

// VM is an entry in the platform's list of VMs, as the list's users receive it.
type VM struct {
	// ID identifies the VM in the list.
	ID string `json:"id"`
	// Address is the host:port at which other VMs reach the VM's router.
	Address string `json:"address"`
	// FailureDomain names the group of VMs that can fail together.
	FailureDomain string `json:"failure_domain"`
	// State is "live", or "leaving" for a VM that is about to be shut down.
	State string `json:"state"`
}

// listChange is a change of the list that readers may not see yet.
type listChange struct {
	// at is when the change was made.
	at time.Time
	// id identifies the VM that changed.
	id string
	// vm is the VM's new entry, or nil if the VM was removed.
	vm *VM
}

// list is the list of VMs. Reads return the state that it had a fixed lag ago, to imitate
// the delay of a real platform's list.
type list struct {
	// lag is how old the returned state is.
	lag time.Duration
	mu  sync.Mutex
	// visible holds the entries by id, without the changes in pending.
	visible map[string]VM
	// pending holds the changes not yet visible, oldest first.
	pending []listChange
}

// newList returns an empty list whose reads lag by the given time.
func newList(lag time.Duration) *list {
	return &list{lag: lag, visible: map[string]VM{}}
}

// change records a new entry of a VM, or its removal if vm is nil. Readers see it after
// the lag.
func (l *list) change(id string, vm *VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listChange{at: time.Now(), id: id, vm: vm})
}

// listResponse is the response to a read of the list.
type listResponse struct {
	// AsOf is the time whose state the response shows.
	AsOf time.Time `json:"as_of"`
	// VMs are the entries in the order of their ids.
	VMs []VM `json:"vms"`
}

// at applies the pending changes up to asOf and returns the list. Later calls must not
// use an earlier asOf.
func (l *list) at(asOf time.Time) listResponse {
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
	response := listResponse{AsOf: asOf, VMs: []VM{}}
	for _, id := range slices.Sorted(maps.Keys(l.visible)) {
		response.VMs = append(response.VMs, l.visible[id])
	}
	return response
}

// get responds with the list as it was a lag ago.
func (l *list) get(w http.ResponseWriter, _ bunrouter.Request) error {
	return sycserver.WriteJSON(w, http.StatusOK, l.at(time.Now().Add(-l.lag)))
}

// put adds or replaces the entry of the VM named in the path.
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

// remove removes the VM named in the path.
func (l *list) remove(w http.ResponseWriter, r bunrouter.Request) error {
	l.change(r.Param("id"), nil)
	w.WriteHeader(http.StatusNoContent)
	return nil
}
