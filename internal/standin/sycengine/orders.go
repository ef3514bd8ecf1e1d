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

// Order is an order to an engine, and an entry of the order log.
type Order struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	// Kind is "load", "drop", "load_adapter", "drop_adapter" or "role".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Weights string `json:"weights,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Time and Taken are set in the log.
	Time  time.Time `json:"time,omitzero"`
	Taken bool      `json:"taken,omitempty"`
}

// Orders returns the orders received, also by earlier incarnations.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order{}, e.orders...)
}

type fenceAnswer struct {
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
	if fence, taken := e.take(order); !taken {
		return sycserver.WriteJSON(w, http.StatusConflict, fenceAnswer{Fence: fence})
	}
	w.WriteHeader(http.StatusAccepted)
	return nil
}

// take carries an order out unless a higher fencing number has been seen.
func (e *Engine) take(order Order) (fence uint64, taken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	order.Time = time.Now()
	order.Taken = !e.options.ChecksFencing || order.Fence >= l.fence
	e.orders = append(e.orders, order)
	if !order.Taken {
		return l.fence, false
	}
	l.fence = max(l.fence, order.Fence)
	e.carryOut(l, order)
	return l.fence, true
}

func (e *Engine) carryOut(l *life, order Order) {
	weights := weightsKey{order.Model, order.Weights}
	adapter := adapterKey{order.Model, order.Weights, order.Adapter}
	switch order.Kind {
	case "load":
		e.load(l, weights)
	case "drop":
		e.drop(l, weights)
	case "load_adapter":
		l.adapters[adapter] = true
	case "drop_adapter":
		delete(l.adapters, adapter)
	case "role":
		l.role = order.Role
	}
}

// load fetches weights unless they are there or on their way.
func (e *Engine) load(l *life, key weightsKey) {
	state := l.loaded[key]
	if state == stateReady || state == stateLoading {
		return
	}
	if e.options.Platform == "" {
		l.loaded[key] = stateReady
		return
	}
	l.loaded[key] = stateLoading
	e.tomb.Go(func() error {
		err := e.fetch(l, key.weights)
		e.mu.Lock()
		defer e.mu.Unlock()
		if l.loaded[key] != stateLoading {
			return nil
		}
		l.loaded[key] = stateReady
		if err != nil {
			l.loaded[key] = stateFailed
		}
		return nil
	})
}

// fetch reads the weights from the store.
func (e *Engine) fetch(l *life, name string) error {
	address := e.options.Platform + "/v1/weights/" + url.PathEscape(name)
	request, err := http.NewRequestWithContext(l.ctx, http.MethodGet, address, nil)
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

// drop unloads weights with their adapters and cached blocks. Sequences that
// run on them are finished.
func (e *Engine) drop(l *life, key weightsKey) {
	delete(l.loaded, key)
	for a := range l.adapters {
		if a.model == key.model && a.weights == key.weights {
			delete(l.adapters, a)
		}
	}
	dropped := l.cache.DropWeights(key.weights)
	if len(dropped) > 0 && l.cache.Len() == 0 {
		e.publish(l, Event{Op: opClear})
		return
	}
	e.publishEvicted(l, dropped)
}
