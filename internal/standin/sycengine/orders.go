package sycengine

import (
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uptrace/bunrouter"
	"sycamorecart.example/sycamorecart/internal/standin/sycserver"
)

// Order is a command to an engine to load or drop weights or adapters or to change
// its role. It is the body of POST /v1/orders and an entry of the order log.
type Order struct {
	// ID identifies the order. The engine only logs it.
	ID string `json:"id"`
	// Fence is the sender's fencing number, which rises with every change of the
	// lease holder, so that an engine can refuse a former holder's orders.
	Fence uint64 `json:"fence"`
	// Kind is "load", "drop", "load_adapter", "drop_adapter" or "role".
	Kind string `json:"kind"`
	// Model is the model of the weights or adapter to load or drop.
	Model string `json:"model,omitempty"`
	// Weights is the version of the weights to load or drop, or to which the adapter
	// belongs.
	Weights string `json:"weights,omitempty"`
	// Adapter is the adapter to load or drop.
	Adapter string `json:"adapter,omitempty"`
	// Role is the new role of an order of the kind "role".
	Role string `json:"role,omitempty"`
	// Time is when the engine received the order. It is set in the order log.
	Time time.Time `json:"time,omitzero"`
	// Taken is true if the engine accepted the order. It is set in the order log.
	Taken bool `json:"taken,omitempty"`
}

// Orders returns the order log in order of arrival, with the orders that earlier
// incarnations received.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order{}, e.orders...)
}

// fenceResponse is the body of the response to an order that is refused because of
// its fencing number. Fence is the highest number accepted so far.
type fenceResponse struct {
	Fence uint64 `json:"fence"`
}

func (e *Engine) postOrder(w http.ResponseWriter, r bunrouter.Request) error {
	var order Order
	if err := decode(w, r, &order); err != nil {
		return refuse(w, http.StatusBadRequest, "bad_request", err.Error())
	}
	if !slices.Contains([]string{"load", "drop", "load_adapter", "drop_adapter", "role"}, order.Kind) {
		return refuse(w, http.StatusBadRequest, "bad_order", "the kind of order is unknown")
	}
	if fence, accepted := e.execute(order); !accepted {
		return sycserver.WriteJSON(w, http.StatusConflict, fenceResponse{Fence: fence})
	}
	w.WriteHeader(http.StatusAccepted)
	return nil
}

// execute logs an order and applies it. If Options.ChecksFencing is set, it doesn't
// apply an order with a lower fencing number than that of an order accepted before.
// It returns the highest fencing number accepted so far.
func (e *Engine) execute(order Order) (fence uint64, accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	inst := e.instance
	order.Time = time.Now()
	order.Taken = !e.options.ChecksFencing || order.Fence >= inst.fence
	e.orders = append(e.orders, order)
	if !order.Taken {
		return inst.fence, false
	}
	inst.fence = max(inst.fence, order.Fence)
	e.apply(inst, order)
	return inst.fence, true
}

// apply changes the instance as an accepted order demands. The caller holds mu.
func (e *Engine) apply(inst *instance, order Order) {
	weights := weightsKey{order.Model, order.Weights}
	adapter := adapterKey{order.Model, order.Weights, order.Adapter}
	switch order.Kind {
	case "load":
		e.loadWeights(inst, weights)
	case "drop":
		e.dropWeights(inst, weights)
	case "load_adapter":
		inst.adapters[adapter] = true
	case "drop_adapter":
		delete(inst.adapters, adapter)
	case "role":
		inst.role = order.Role
	}
}

// loadWeights starts to fetch weights unless they are ready or loading. The caller
// holds mu.
func (e *Engine) loadWeights(inst *instance, key weightsKey) {
	state := inst.loaded[key]
	if state == stateReady || state == stateLoading {
		return
	}
	if e.options.Platform == "" {
		inst.loaded[key] = stateReady
		return
	}
	inst.loaded[key] = stateLoading
	e.tomb.Go(func() error {
		err := e.fetchWeights(inst, key.weights)
		e.mu.Lock()
		defer e.mu.Unlock()
		if inst.loaded[key] != stateLoading {
			return nil
		}
		inst.loaded[key] = stateReady
		if err != nil {
			inst.loaded[key] = stateFailed
		}
		return nil
	})
}

// fetchWeights downloads weights from the weight store and discards their bytes.
func (e *Engine) fetchWeights(inst *instance, name string) error {
	address := e.options.Platform + "/v1/weights/" + url.PathEscape(name)
	request, err := http.NewRequestWithContext(inst.ctx, http.MethodGet, address, nil)
	if err != nil {
		return eris.Wrap(err, "fetch weights")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "fetch weights")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("fetch weights: %s", response.Status)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return eris.Wrap(err, "fetch weights")
	}
	return nil
}

// dropWeights unloads weights with their adapters and cached blocks. Sequences that
// were already queued or running on them continue to their end. The caller holds mu.
func (e *Engine) dropWeights(inst *instance, key weightsKey) {
	delete(inst.loaded, key)
	for a := range inst.adapters {
		if a.model == key.model && a.weights == key.weights {
			delete(inst.adapters, a)
		}
	}
	dropped := inst.cache.DropWeights(key.weights)
	if len(dropped) > 0 && inst.cache.Len() == 0 {
		e.publish(inst, Event{Op: opClear})
		return
	}
	e.publishEvicted(inst, dropped)
}
