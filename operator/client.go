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
	"quetzalhold/objects"
	"quetzalhold/result"
)

// Client calls the operators' API of entry VMs. Use [NewClient].
type Client struct {
	entries []string
	key     string
	http    *http.Client
}

// clientLimit bounds each call of a Client.
const clientLimit = 10 * time.Second

// NewClient returns a client of the entry VMs at the given addresses.
func NewClient(entries []string, key string) *Client {
	return &Client{
		entries: entries,
		key:     key,
		http:    &http.Client{Timeout: clientLimit, Transport: &http.Transport{DialContext: engine.TimeoutDialer(nil), DisableKeepAlives: true}},
	}
}

// ConflictError is a write refused because the object had changed.
type ConflictError struct {
	Cause   *result.Error
	Current *objects.Object // the object as it is; nil if unknown
}

// Error implements error.
func (e *ConflictError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Cause }

// Apply writes an object through the first entry VM that answers.
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

// expected returns the version that a write replaces.
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

// Explain returns what each reachable entry VM knows of a request. It fails
// with UnknownRequest if none knows it.
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

// first does a call at the first entry VM that answers.
func (c *Client) first(ctx context.Context, method, path string, in, out any) error {
	var errs []error
	for _, address := range c.entries {
		err := c.call(ctx, address, method, path, in, out)
		var numbered *result.Error
		if err == nil || errors.As(err, &numbered) && numbered.Code != result.Stopping {
			return err
		}
		if method != http.MethodGet && !engine.IsConnRefused(err) {
			// The write may have taken effect; another one must read first.
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
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

func readConflict(resp *http.Response) error {
	var body Conflict
	err := json.NewDecoder(io.LimitReader(resp.Body, maxChange)).Decode(&body)
	if err != nil || body.Error == nil {
		return result.New(result.VersionConflict, "status %d", resp.StatusCode)
	}
	return &ConflictError{Cause: body.Error, Current: body.Current}
}
