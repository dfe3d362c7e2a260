package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"quetzalhold/engine"
	"quetzalhold/http1"
	"quetzalhold/relay"
	"quetzalhold/result"
)

// WherePath is the path on the address for entry VMs at which a gateway tells where a request would go.
const WherePath = "/where"

// serveWhere answers where a request would go.
func (d *Daemon) serveWhere(w http.ResponseWriter, r *http.Request) {
	q, err := relay.ReadWhereQuery(r.URL.Query())
	if err != nil {
		result.Write(w, err)
		return
	}
	a := d.relay.Where(r.Context(), q)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(&a); err != nil {
		d.log.Warn("answer of where not written", zap.Error(err))
	}
}

const (
	// whereTimeout bounds the wait for an answer. A placement takes two rounds of load reports, 150 ms each.
	whereTimeout = 5 * time.Second
	// maxWhereBytes bounds an answer: about 200 bytes for each of some thousand servers.
	maxWhereBytes = 4 << 20
)

// AskWhere asks the gateway at an address for entry VMs where a request would go. It dials with dial, or with a
// net.Dialer if dial is nil. Its errors don't contain the key.
func AskWhere(ctx context.Context, dial engine.Dialer, address string, q relay.WhereQuery) (*relay.WhereAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	u := url.URL{Scheme: "http", Host: address, Path: WherePath, RawQuery: q.Values().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, result.Wrap(result.BadRequest, withoutURL(err), "address %q", address)
	}
	// A transport returns errors without the URL, which has the key.
	resp, err := http1.New(&http.Transport{DialContext: dial, DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, withoutURL(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask %s: %w", address, result.Read(resp, result.UnknownPath))
	}
	var a relay.WhereAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxWhereBytes)).Decode(&a); err != nil {
		return nil, fmt.Errorf("decode the answer of %s: %w", address, err)
	}
	if err := a.Check(); err != nil {
		return nil, fmt.Errorf("answer of %s: %w", address, err)
	}
	return &a, nil
}

// withoutURL returns an error without the URL of its request.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
