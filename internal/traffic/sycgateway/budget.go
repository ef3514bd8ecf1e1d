package sycgateway

// countRequest counts the request in the budgets for retries.
func (x *exchange) countRequest(endpoint string) {
	if x.retryCounted {
		return
	}
	x.retryCounted = true
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.customerRetries.Get(now, x.customer()).Request(now)
	g.endpointRetries.Get(now, endpoint).Request(now)
}

// spend takes a retry from the budgets of the customer and of the endpoint
// that failed.
func (x *exchange) spendRetry(endpoint string) bool {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	customer := g.customerRetries.Get(now, x.customer())
	target := g.endpointRetries.Get(now, endpoint)
	if !customer.Allows(now) || !target.Allows(now) {
		deniedRetriesTotal.Inc()
		return false
	}
	customer.Spend(now)
	target.Spend(now)
	retriesTotal.Inc()
	return true
}
