package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"
	"golang.org/x/time/rate"

	"quetzalhold/clock"
	"quetzalhold/objects"
	"quetzalhold/result"
)

// PlatformFault is the faults of a platform stand-in. The zero value is no fault.
type PlatformFault struct {
	Down        bool          `json:"down,omitempty"`        // requests get no answer, and watches send nothing
	LoseAnswers int           `json:"loseAnswers,omitempty"` // the next LoseAnswers writes are carried out, but their answers are lost
	Delay       time.Duration `json:"delay,omitempty"`       // before each call is carried out and each watch message is sent
}

// PlatformCounts counts the calls to a platform stand-in. A watch counts as one
// call however long it stays open.
type PlatformCounts struct {
	Reads    int `json:"reads"`
	Writes   int `json:"writes"`
	Watches  int `json:"watches"`
	Refused  int `json:"refused"`
	Watching int `json:"watching"` // watches open now
}

// Limits of the platform.
const (
	platformWrites = 400             // writes per second
	platformReads  = 2000            // reads and new watches per second
	watchHeartbeat = 5 * time.Second // interval of comments on an idle watch
	maxChanges     = 4096            // changes kept for watches; the oldest are dropped first
)

// Platform is a stand-in for the platform's object API and its list of VMs. It is
// an [http.Handler]. Use [NewPlatform].
type Platform struct {
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu           sync.Mutex
	revision     objects.Revision
	objects      map[objectKey]objects.Object
	changes      []change
	changed      chan struct{} // closed when an object changes
	vms          []objects.VM
	vmLag        time.Duration
	pending      []vmChange
	fault        PlatformFault
	faultChanged chan struct{} // closed when fault changes
	counts       PlatformCounts
}

type objectKey struct {
	kind objects.Kind
	name objects.Name
}

// change is an object as written at a revision.
type change struct {
	revision objects.Revision
	object   objects.Object
}

// vmChange is a change of a VM that the list of VMs shows from at on.
type vmChange struct {
	vm objects.VM
	at time.Time
}

// NewPlatform returns an empty platform whose list of VMs lags by vmLag.
func NewPlatform(vmLag time.Duration) *Platform {
	p := &Platform{
		mux:          http.NewServeMux(),
		writes:       rate.NewLimiter(platformWrites, platformWrites),
		reads:        rate.NewLimiter(platformReads, platformReads),
		objects:      make(map[objectKey]objects.Object),
		changed:      make(chan struct{}),
		faultChanged: make(chan struct{}),
		vmLag:        vmLag,
	}
	p.mux.HandleFunc("GET /objects/{kind}", p.limitReads(p.list))
	p.mux.HandleFunc("GET /objects/{kind}/{name}", p.limitReads(p.get))
	p.mux.HandleFunc("PUT /objects/{kind}/{name}", p.put)
	p.mux.HandleFunc("GET /vms", p.limitReads(p.listVMs))
	p.mux.HandleFunc("PUT /vms", p.putVM)
	p.mux.HandleFunc("GET /watch", p.watch)
	p.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	p.mux.HandleFunc("POST /faults", p.handleFault)
	return p
}

// ServeHTTP implements [http.Handler].
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" && !p.waitUp(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

// waitUp waits while the platform is down, and then for the configured delay. It
// returns false if ctx ends first.
func (p *Platform) waitUp(ctx context.Context) bool {
	for {
		p.mu.Lock()
		f, faulted := p.fault, p.faultChanged
		p.mu.Unlock()
		if !f.Down {
			return clock.Sleep(ctx, f.Delay) == nil
		}
		select {
		case <-faulted:
		case <-ctx.Done():
			return false
		}
	}
}

// SetFault replaces the faults in force by f.
func (p *Platform) SetFault(f PlatformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	var f PlatformFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode fault"))
		return
	}
	p.SetFault(f)
	w.WriteHeader(http.StatusNoContent)
}

// Counts returns the calls counted so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// limitReads returns a handler that answers with the result of f, within the rate
// limit of reads.
func (p *Platform) limitReads(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.allow(p.reads, &p.counts.Reads) {
			result.Write(w, result.New(result.RateExceeded, "reads"))
			return
		}
		v, err := f(r)
		if err != nil {
			result.Write(w, err)
			return
		}
		writeJSON(w, v)
	}
}

// allow reports whether the limiter permits a call, and counts it in n or as refused.
func (p *Platform) allow(l *rate.Limiter, n *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.Allow() {
		p.counts.Refused++
		return false
	}
	*n++
	return true
}

func (p *Platform) list(r *http.Request) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := objects.List{Revision: p.revision, Objects: []objects.Object{}}
	for k, o := range p.objects {
		if string(k.kind) == r.PathValue("kind") {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b objects.Object) int { return cmp.Compare(a.Name, b.Name) })
	return l, nil
}

func (p *Platform) get(r *http.Request) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[keyOf(r)]
	if !ok {
		return nil, result.New(result.ObjectMissing, "%s", r.URL.Path)
	}
	return o, nil
}

func keyOf(r *http.Request) objectKey {
	return objectKey{objects.Kind(r.PathValue("kind")), objects.Name(r.PathValue("name"))}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	if !p.allow(p.writes, &p.counts.Writes) {
		result.Write(w, result.New(result.RateExceeded, "writes"))
		return
	}
	var in objects.Put
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*objects.MaxValueSize)).Decode(&in); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode put"))
		return
	}
	o, err := p.Put(keyOf(r).kind, keyOf(r).name, in)
	if p.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		result.Write(w, err)
		return
	}
	writeJSON(w, o)
}

// loseAnswer reports whether the answer to this write is to be lost, and counts it
// off from the fault.
func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.LoseAnswers == 0 {
		return false
	}
	p.fault.LoseAnswers--
	return true
}

// Put writes an object if its current version is in.Expect.
func (p *Platform) Put(k objects.Kind, n objects.Name, in objects.Put) (objects.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.objects[objectKey{k, n}]
	switch {
	case old.Version != in.Expect:
		return old, result.New(result.VersionConflict, "%s %s is at version %d", k, n, old.Version)
	case len(in.Value) > objects.MaxValueSize:
		return old, result.New(result.ObjectTooLarge, "%d bytes", len(in.Value))
	}
	o := objects.Object{
		Kind: k, Name: n, Version: old.Version + 1, WriteID: in.WriteID, Value: in.Value, Deleted: in.Delete,
	}
	p.objects[objectKey{k, n}] = o
	p.revision++
	p.changes = append(p.changes, change{p.revision, o})
	if len(p.changes) > maxChanges {
		p.changes = p.changes[1:]
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return o, nil
}

// SetVM adds or changes a VM. The list of VMs shows the change after its lag.
func (p *Platform) SetVM(vm objects.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, vmChange{vm, time.Now().Add(p.vmLag)})
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm objects.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode VM"))
		return
	}
	p.SetVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) listVMs(*http.Request) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.pending) > 0 && !now.Before(p.pending[0].at) {
		vm := p.pending[0].vm
		p.pending = p.pending[1:]
		p.vms = slices.DeleteFunc(p.vms, func(x objects.VM) bool { return x.ID == vm.ID })
		p.vms = append(p.vms, vm)
	}
	return objects.VMList{VMs: slices.Clone(p.vms)}, nil
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	from, err := queryUint(r, "from")
	if err != nil {
		result.Write(w, err)
		return
	}
	if !p.allow(p.reads, &p.counts.Watches) {
		result.Write(w, result.New(result.RateExceeded, "watches"))
		return
	}
	p.addWatchers(1)
	defer p.addWatchers(-1)
	sess, err := sse.Upgrade(w, r)
	if err != nil {
		result.Write(w, err)
		return
	}
	p.sendChanges(r.Context(), sess, objects.Revision(from), r.URL.Query()["kind"])
}

func (p *Platform) addWatchers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Watching += n
}

// sendChanges sends each change of an object of the given kinds after revision
// from, and a heartbeat when there was none for watchHeartbeat.
func (p *Platform) sendChanges(ctx context.Context, sess *sse.Session, from objects.Revision, kinds []string) {
	if sess.Flush() != nil {
		return
	}
	for {
		timer, stop := context.WithTimeout(ctx, watchHeartbeat)
		changed, changes := p.changesAfter(from)
		for _, c := range changes {
			if !slices.Contains(kinds, string(c.object.Kind)) {
				from = c.revision
				continue
			}
			if !p.waitUp(ctx) || sendChange(sess, c) != nil {
				stop()
				return
			}
			from = c.revision
		}
		select {
		case <-changed:
		case <-timer.Done():
		}
		idle := timer.Err() != nil
		stop()
		if ctx.Err() != nil || idle && !p.heartbeat(ctx, sess) {
			return
		}
	}
}

// changesAfter returns the changes after a revision, and a channel that is
// closed at the next change.
func (p *Platform) changesAfter(from objects.Revision) (<-chan struct{}, []change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []change
	for _, c := range p.changes {
		if c.revision > from {
			found = append(found, c)
		}
	}
	return p.changed, found
}

// heartbeat sends a comment. It returns false if that fails.
func (p *Platform) heartbeat(ctx context.Context, sess *sse.Session) bool {
	m := &sse.Message{}
	m.AppendComment("watching")
	return p.waitUp(ctx) && sess.Send(m) == nil && sess.Flush() == nil
}

func sendChange(sess *sse.Session, c change) error {
	b, err := json.Marshal(c.object)
	if err != nil {
		return err
	}
	m := &sse.Message{ID: sse.ID(strconv.FormatUint(uint64(c.revision), 10))}
	m.AppendData(string(b))
	if err := sess.Send(m); err != nil {
		return err
	}
	return sess.Flush()
}
