package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/result"
)

// Status is an entry VM's report on itself.
type Status struct {
	Entry          engine.ServerID `json:"entry"`
	Domain         names.Set       `json:"domain"`
	Address        string          `json:"address"`
	Ready          bool            `json:"ready"`
	Stopping       bool            `json:"stopping"`
	Preset         PresetID        `json:"preset"`
	OpenRequests   int             `json:"open"`    // callers' requests in progress
	PendingCancels int             `json:"cancels"` // cancellations that engines have not confirmed yet
	Platform       PlatformStatus  `json:"platform"`
	Engines        []EngineStatus  `json:"engines"`
	Members        []MemberStatus  `json:"members"`  // known entry VMs of its failure domain
	Watcher        bool            `json:"watcher"`  // it watches the platform's configuration
	Delegate       bool            `json:"delegate"` // it exchanges configuration with other failure domains
	Objects        []ObjectVersion `json:"objects"`
	Faults         []*result.Error `json:"faults,omitempty"` // of objects left out of the configuration
}

// MemberStatus is another entry VM as the reporting one sees it.
type MemberStatus struct {
	ID          engine.ServerID    `json:"id"`
	Address     string             `json:"address"`
	State       string             `json:"state"`
	Incarnation engine.Incarnation `json:"incarnation"`
}

// PlatformStatus is the reporting entry VM's connection to the platform.
type PlatformStatus struct {
	LastSuccess time.Time `json:"reachedAt"`       // last successful call
	Error       string    `json:"error,omitempty"` // of the most recent call, if it failed
}

// EngineStatus is an engine as the reporting entry VM sees it.
type EngineStatus struct {
	ID       engine.ServerID `json:"id"`
	Domain   names.ID        `json:"domain"`
	LastSeen time.Time       `json:"heardAt"` // when the engine last sent anything
	Draining bool            `json:"leaving"` // the platform's list marks it as draining
}

// ObjectVersion is the version that an entry VM has of a configuration object.
type ObjectVersion struct {
	Kind    objects.Kind    `json:"kind"`
	Name    objects.Name    `json:"name"`
	Version objects.Version `json:"version"`
}

// Change is the body of an operator's write. Expect is the current version of
// the object, 0 for a new one; the write fails if it differs.
type Change struct {
	Expect objects.Version `json:"expect"`
	Value  json.RawMessage `json:"value"`
}

// Conflict is the response to a write whose expected version is not the
// current one.
type Conflict struct {
	Error   *result.Error   `json:"error"`
	Current *objects.Object `json:"current,omitempty"`
}

// API is the operators' HTTP API of an entry VM. All fields must be set.
type API struct {
	// Key is the bearer token of operators.
	Key string
	// Store holds the configuration in force at this entry VM.
	Store *Store
	// Put writes an object; usually [objects.Client.Put].
	Put func(context.Context, objects.Kind, objects.Name, objects.Version, any) (objects.Object, error)
	// Get reads an object; usually [objects.Client.Get].
	Get func(context.Context, objects.Kind, objects.Name) (objects.Object, error)
	// OnWrite is called with each object that Put has written.
	OnWrite func(objects.Object)
	// Status returns the entry VM's status.
	Status func() Status
	// History returns this entry VM's record of a request.
	History func(engine.RequestID) History
}

// maxChangeBytes is the maximum size of a write's body, in bytes.
const maxChangeBytes = objects.MaxValueSize + 4096

// The paths of the API.
const (
	PathObjects  = "/operator/objects/"
	PathStatus   = "/operator/status"
	PathRequests = "/operator/requests/"
)

// Register adds the API's paths to mux.
func (a *API) Register(mux *http.ServeMux) {
	handle := func(pattern string, f func(*http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, f) })
	}
	handle("GET "+PathObjects+"{kind}", a.list)
	handle("GET "+PathObjects+"{kind}/{name}", a.get)
	handle("PUT "+PathObjects+"{kind}/{name}", a.put)
	handle("GET "+PathStatus, func(*http.Request) (any, error) { return a.Status(), nil })
	handle("GET "+PathRequests+"{id}", a.history)
}

// serve checks the operator's key, calls f and writes its result.
func (a *API) serve(w http.ResponseWriter, r *http.Request, f func(*http.Request) (any, error)) {
	if !Authorized(r, a.Key) {
		result.Write(w, result.New(result.NotAllowed, "operator key").AsNotRun())
		return
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	v, err := f(r.WithContext(ctx))
	if err != nil {
		a.fail(w, r, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If the connection is closed, there is no way to report the error.
	_ = json.NewEncoder(w).Encode(v)
}

// fail responds with an error. A conflict includes the current object, so that
// the operator can compare it with the rejected change.
func (a *API) fail(w http.ResponseWriter, r *http.Request, err error) {
	if result.CodeOf(err) != result.VersionConflict {
		result.Write(w, err)
		return
	}
	body := Conflict{Error: result.FromError(err)}
	o, getErr := a.Get(r.Context(), objects.Kind(r.PathValue("kind")), objects.Name(r.PathValue("name")))
	if getErr == nil {
		body.Current = &o
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	// If the connection is closed, there is no way to report the error.
	_ = json.NewEncoder(w).Encode(body)
}

func (a *API) list(r *http.Request) (any, error) {
	k, err := parseKind(r.PathValue("kind"))
	if err != nil {
		return nil, err
	}
	found := []objects.Object{}
	for _, o := range a.Store.All() {
		if o.Kind == k && !o.Deleted {
			found = append(found, o)
		}
	}
	return found, nil
}

func (a *API) get(r *http.Request) (any, error) {
	k, err := parseKind(r.PathValue("kind"))
	if err != nil {
		return nil, err
	}
	n := a.objectName(k, r.PathValue("name"))
	o, ok := a.Store.Get(k, n)
	if !ok || o.Deleted {
		return nil, result.New(result.ObjectMissing, "%s %s", k, n)
	}
	return o, nil
}

// objectName returns the object name for a name given by an operator, who may
// name services and organisations in any scheme. A name that can't be resolved
// is returned unchanged.
func (a *API) objectName(k objects.Kind, name string) objects.Name {
	reg := a.Store.Current().Registry()
	if reg == nil {
		return objects.Name(name)
	}
	kinds := map[objects.Kind]names.Kind{KindService: names.Service, KindOrganisation: names.Organisation}
	nk, ok := kinds[k]
	if !ok {
		return objects.Name(name)
	}
	id, err := reg.Resolve(nk, name)
	if err != nil {
		return objects.Name(name)
	}
	return objects.Name(id)
}

func parseKind(s string) (objects.Kind, error) {
	if k := objects.Kind(s); isKind(k) {
		return k, nil
	}
	return "", result.New(result.UnknownName, "%q is no kind of object", s).AsNotRun()
}

func (a *API) put(r *http.Request) (any, error) {
	k, err := parseKind(r.PathValue("kind"))
	if err != nil {
		return nil, err
	}
	var ch Change
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxChangeBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ch); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "decode change").AsNotRun()
	}
	n := a.objectName(k, r.PathValue("name"))
	candidate := objects.Object{Kind: k, Name: n, Version: ch.Expect + 1, Value: ch.Value}
	if faults := a.Store.Validate(candidate); len(faults) > 0 {
		return nil, faults[0].AsNotRun()
	}
	o, err := a.Put(r.Context(), k, n, ch.Expect, ch.Value)
	if err != nil {
		return nil, err
	}
	a.OnWrite(o)
	return o, nil
}

func (a *API) history(r *http.Request) (any, error) {
	id := engine.RequestID(r.PathValue("id"))
	h := a.History(id)
	if len(h.Steps) == 0 {
		return nil, result.New(result.UnknownRequest, "request %s", id)
	}
	return h, nil
}
