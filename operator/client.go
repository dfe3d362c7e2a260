package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"quetzalhold/engine"
	"quetzalhold/http1"
	"quetzalhold/objects"
	"quetzalhold/result"
)

// Client calls the operators' API of entry VMs. Use [NewClient].
type Client struct {
	entries []string
	key     string
	http    *http.Client
}

// clientTimeout is the timeout of each call of a Client.
const clientTimeout = 10 * time.Second

// NewClient returns a client of the entry VMs at the given addresses.
func NewClient(entries []string, key string) *Client {
	return &Client{
		entries: entries,
		key:     key,
		http:    &http.Client{Timeout: clientTimeout, Transport: http1.New(&http.Transport{DialContext: engine.TimeoutDialer(nil), DisableKeepAlives: true, MaxResponseHeaderBytes: engine.MaxHeaderBytes})},
	}
}

// ConflictError reports a write that was refused because the object had
// changed.
type ConflictError struct {
	Cause   *result.Error
	Current *objects.Object // the object's current state; nil if unknown
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Cause }

// Apply writes an object through the first entry VM that responds.
func (c *Client) Apply(ctx context.Context, o FileObject) (objects.Object, error) {
	expect, err := c.expected(ctx, o)
	if err != nil {
		return objects.Object{}, err
	}
	path := PathObjects + url.PathEscape(string(o.Kind)) + "/" + url.PathEscape(string(o.Name))
	var written objects.Object
	err = c.first(ctx, http.MethodPut, path, Change{Expect: expect, Value: o.Value}, &written)
	return written, err
}

// expected returns the version that the write must replace: the one that the
// file states, or else the current one.
func (c *Client) expected(ctx context.Context, o FileObject) (objects.Version, error) {
	if o.Expect != nil {
		return *o.Expect, nil
	}
	old, err := c.Get(ctx, o.Kind, o.Name)
	if result.CodeOf(err) == result.ObjectMissing {
		return 0, nil
	}
	return old.Version, err
}

// UsePreset puts a preset in force.
func (c *Client) UsePreset(ctx context.Context, p PresetID) (objects.Object, error) {
	raw, err := json.Marshal(InForce{Preset: p})
	if err != nil {
		return objects.Object{}, fmt.Errorf("encode preset: %w", err)
	}
	return c.Apply(ctx, FileObject{Kind: KindInForce, Name: InForceName, Value: raw})
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, k objects.Kind, n objects.Name) (objects.Object, error) {
	var o objects.Object
	path := PathObjects + url.PathEscape(string(k)) + "/" + url.PathEscape(string(n))
	err := c.first(ctx, http.MethodGet, path, nil, &o)
	return o, err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, k objects.Kind) ([]objects.Object, error) {
	var objs []objects.Object
	err := c.first(ctx, http.MethodGet, PathObjects+url.PathEscape(string(k)), nil, &objs)
	return objs, err
}

// Status returns the status of one entry VM.
func (c *Client) Status(ctx context.Context, address string) (*Status, error) {
	var st Status
	if err := c.call(ctx, address, http.MethodGet, PathStatus, nil, &st); err != nil {
		return nil, err
	}
	return &st, nil
}

// Explain returns the history of a request from each reachable entry VM that
// has one. It fails with UnknownRequest if none does.
func (c *Client) Explain(ctx context.Context, id engine.RequestID) ([]History, error) {
	var all []History
	var errs []error
	for _, address := range c.entries {
		var h History
		if err := c.call(ctx, address, http.MethodGet, PathRequests+url.PathEscape(string(id)), nil, &h); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", address, err))
			continue
		}
		all = append(all, h)
	}
	if len(all) == 0 {
		return nil, result.Wrap(result.UnknownRequest, errors.Join(errs...), "request %s", id)
	}
	return all, nil
}

// first tries the entry VMs in order and returns the result of the first one
// that responds, unless it responds that it is shutting down. After a failed
// write, it tries the next entry VM only if the connection was refused.
func (c *Client) first(ctx context.Context, method, path string, in, out any) error {
	var errs []error
	for _, address := range c.entries {
		err := c.call(ctx, address, method, path, in, out)
		var resErr *result.Error
		if err == nil || errors.As(err, &resErr) && resErr.Code != result.Stopping {
			return err
		}
		if method != http.MethodGet && !engine.IsConnRefused(err) {
			// The write may have taken effect. The operator must read the object
			// before writing it again.
			return result.Wrap(result.PlatformDown, err, "entry VM %s: outcome unknown", address)
		}
		errs = append(errs, fmt.Errorf("%s: %w", address, err))
	}
	return errors.Join(errs...)
}

func (c *Client) call(ctx context.Context, address, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return readConflict(resp)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return result.Read(resp, result.Internal)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

// maxReplyBytes bounds a response of an entry VM.
const maxReplyBytes = 64 << 20

func readConflict(resp *http.Response) error {
	var body Conflict
	err := json.NewDecoder(io.LimitReader(resp.Body, maxChangeBytes)).Decode(&body)
	if err != nil || body.Error == nil {
		return result.New(result.VersionConflict, "status %d", resp.StatusCode)
	}
	return &ConflictError{Cause: body.Error, Current: body.Current}
}
