package relay

// OpenExchanges returns the number of requests sent to servers whose outcome is not known.
func (r *Relay) OpenExchanges() int {
	r.exchanges.mu.Lock()
	defer r.exchanges.mu.Unlock()
	return len(r.exchanges.open)
}
