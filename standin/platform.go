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

// PlatformFault orders the platform stand-in to fail. The zero value ends all
// faults.
type PlatformFault struct {
	Down        bool          `json:"down,omitempty"`        // answers nothing; watches go silent
	LoseAnswers int           `json:"loseAnswers,omitempty"` // so many writes take effect unanswered
	Delay       time.Duration `json:"delay,omitempty"`       // before each call takes effect
}

// PlatformCounts is the calls that a platform stand-in has taken, a waiting
// watch counted as one.
type PlatformCounts struct {
	Reads    int `json:"reads"`
	Writes   int `json:"writes"`
	Watches  int `json:"watches"`
	Refused  int `json:"refused"`
	Watching int `json:"watching"` // now
}

// The platform's call rates, in calls a second, and the pace of its watches.
const (
	platformWrites = 400
	platformReads  = 2000
	watchHeartbeat = 5 * time.Second
	maxChanges     = 4096
)

// Platform is a stand-in for the platform's object API and list of VMs. It is
// an [http.Handler]. Use [NewPlatform].
type Platform struct {
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	revision objects.Revision
	objects  map[objectKey]objects.Object
	changes  []change
	changed  chan struct{}
	vms      []objects.VM
	vmLag    time.Duration
	pending  []vmChange
	fault    PlatformFault
	faulted  chan struct{} // closed when the faults change
	counts   PlatformCounts
}

type objectKey struct {
	kind objects.Kind
	name objects.Name
}

type change struct {
	revision objects.Revision
	object   objects.Object
}

type vmChange struct {
	vm objects.VM
	at time.Time
}

// NewPlatform returns an empty platform whose list of VMs lags by vmLag.
func NewPlatform(vmLag time.Duration) *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		writes:  rate.NewLimiter(platformWrites, platformWrites),
		reads:   rate.NewLimiter(platformReads, platformReads),
		objects: make(map[objectKey]objects.Object),
		changed: make(chan struct{}),
		faulted: make(chan struct{}),
		vmLag:   vmLag,
	}
	p.mux.HandleFunc("GET /objects/{kind}", p.read(p.list))
	p.mux.HandleFunc("GET /objects/{kind}/{name}", p.read(p.get))
	p.mux.HandleFunc("PUT /objects/{kind}/{name}", p.put)
	p.mux.HandleFunc("GET /vms", p.read(p.listVMs))
	p.mux.HandleFunc("PUT /vms", p.putVM)
	p.mux.HandleFunc("GET /watch", p.watch)
	p.mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	p.mux.HandleFunc("POST /faults", p.handleFault)
	return p
}

// ServeHTTP implements [http.Handler].
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" && !p.up(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

// up waits while the platform is down; false if ctx ends first.
func (p *Platform) up(ctx context.Context) bool {
	for {
		p.mu.Lock()
		f, faulted := p.fault, p.faulted
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

// Fail orders faults in place of the earlier ones.
func (p *Platform) Fail(f PlatformFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.faulted)
	p.faulted = make(chan struct{})
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	var f PlatformFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		result.Write(w, result.Wrap(result.BadRequest, err, "decode fault"))
		return
	}
	p.Fail(f)
	w.WriteHeader(http.StatusNoContent)
}

// Counts returns the calls taken so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// read wraps a reading call with its rate limit.
func (p *Platform) read(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.permit(p.reads, &p.counts.Reads) {
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

func (p *Platform) permit(l *rate.Limiter, n *int) bool {
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
	if !p.permit(p.writes, &p.counts.Writes) {
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

func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.LoseAnswers == 0 {
		return false
	}
	p.fault.LoseAnswers--
	return true
}

// Put writes an object under its condition.
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

// SetVM adds or changes a VM. The list shows it after its lag.
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
	if !p.permit(p.reads, &p.counts.Watches) {
		result.Write(w, result.New(result.RateExceeded, "watches"))
		return
	}
	p.addWatching(1)
	defer p.addWatching(-1)
	sess, err := sse.Upgrade(w, r)
	if err != nil {
		result.Write(w, err)
		return
	}
	p.sendChanges(r.Context(), sess, objects.Revision(from), r.URL.Query()["kind"])
}

func (p *Platform) addWatching(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Watching += n
}

// sendChanges sends each change of the given kinds after revision from, and a
// comment when there was none for a while.
func (p *Platform) sendChanges(ctx context.Context, sess *sse.Session, from objects.Revision, kinds []string) {
	if sess.Flush() != nil {
		return
	}
	for {
		beat, stop := context.WithTimeout(ctx, watchHeartbeat)
		changed, news := p.changesAfter(from)
		for _, c := range news {
			if !slices.Contains(kinds, string(c.object.Kind)) {
				from = c.revision
				continue
			}
			if !p.up(ctx) || sendChange(sess, c) != nil {
				stop()
				return
			}
			from = c.revision
		}
		select {
		case <-changed:
		case <-beat.Done():
		}
		idle := beat.Err() != nil
		stop()
		if ctx.Err() != nil || idle && !p.heartbeat(ctx, sess) {
			return
		}
	}
}

// changesAfter returns the changes after a revision, and a channel that is
// closed at the next one.
func (p *Platform) changesAfter(from objects.Revision) (<-chan struct{}, []change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var news []change
	for _, c := range p.changes {
		if c.revision > from {
			news = append(news, c)
		}
	}
	return p.changed, news
}

// heartbeat sends a comment; false if that fails.
func (p *Platform) heartbeat(ctx context.Context, sess *sse.Session) bool {
	m := &sse.Message{}
	m.AppendComment("watching")
	return p.up(ctx) && sess.Send(m) == nil && sess.Flush() == nil
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
