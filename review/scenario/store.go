package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswer is the time in which the store answers.
const storeAnswer = 4 * time.Millisecond

// metadata is the store's metadata of an object.
type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision,omitempty"`
	Created    int64    `json:"created,omitempty"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// event is a change of an object.
type event struct {
	kind     string
	revision int64
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
	// statusWritten is called after the status of an object of a kind was written.
	statusWritten func(kind, name string, status json.RawMessage)
}

func newStore() *store {
	return &store{revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object's value as the operator or a server does. The status stays.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the values are maps of strings and numbers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.change(kind, o, false)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		s.change(kind, o, true)
	}
}

// change records a change. The caller holds s.mu.
func (s *store) change(kind string, o object, removed bool) object {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	o.Metadata.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	if removed {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		s.kinds[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, event{kind: kind, revision: s.revision, Removed: removed, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(storeAnswer)
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name)
	case name != "":
		s.get(w, kind, name)
	case r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

// pageSize is the most objects in a page of a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "has_more": more, "store_revision": revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err1 := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for late := false; ; {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for i := range s.history {
			if s.history[i].kind == kind && s.history[i].revision > from {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || late {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-t.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, path string) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if n, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		in.Metadata.Revision = n
	}
	name, sub, _ := strings.Cut(path, "/")
	if name == "" {
		name = in.Metadata.Name
	}
	status, o := s.apply(r.Method, kind, name, sub == "status", in)
	if status == http.StatusOK && sub == "status" && s.statusWritten != nil {
		s.statusWritten(kind, name, o.Status)
	}
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	answer(w, status, o)
}

func (s *store) apply(method, kind, name string, status bool, in object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, o
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, o
	case in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		return http.StatusConflict, o
	case method == http.MethodDelete:
		return http.StatusOK, s.change(kind, o, true)
	}
	old := o
	o.Metadata.Name = name
	if status {
		o.Status = in.Status
	} else {
		o.Spec = in.Spec
	}
	if exists && bytes.Equal(old.Spec, o.Spec) && bytes.Equal(old.Status, o.Status) {
		return http.StatusOK, o
	}
	return http.StatusOK, s.change(kind, o, false)
}
