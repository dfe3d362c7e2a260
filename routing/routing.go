// Package routing holds the configuration that callers' requests are routed
// by: routes by host and path, the services behind them, organisations by key
// and limits. It does no I/O.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quetzalhold/engine"
	"quetzalhold/result"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Kind says which requests of a route may be repeated.
type Kind int

// The kinds. The zero value is the one that permits least.
const (
	NonIdempotent Kind = iota // non-idempotent
	Idempotent                // idempotent
	Stream                    // stream
)

// Identifiers of configured things.
type (
	// RouteName names a route.
	RouteName string
	// ServiceName names a service.
	ServiceName string
	// Organisation names an organisation.
	Organisation string
	// Key is what an organisation's callers prove themselves by.
	Key string
	// Version numbers configurations; a newer one has a higher number.
	Version int64
	// Priority ranks requests; 0 goes first.
	Priority int
)

// Split is a service's part of a route's requests.
type Split struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// Route says where the requests of a host and path prefix go and what may be
// done with them.
type Route struct {
	Name     RouteName `json:"name"`
	Host     string    `json:"host"`
	Prefix   string    `json:"prefix"` // begins and ends with a slash
	Kind     Kind      `json:"kind"`
	Splits   []Split   `json:"splits"`
	Priority Priority  `json:"priority"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may go on at another backend server.
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts is the number of backend servers that one request may be
	// sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Timeout is the longest time that a caller is kept waiting; 0 for none.
	Timeout time.Duration `json:"timeoutNs,omitempty"`
	// LatencyTarget is the objective for an answer, of a stream for its first event.
	LatencyTarget time.Duration `json:"firstByNs,omitempty"`
	// GapTarget is the objective for the time between two events of a stream.
	GapTarget time.Duration `json:"maxGapNs,omitempty"`
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service that takes a request, alike at every entry VM.
func (r *Route) Service(id engine.RequestID) ServiceName {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Splits {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Model is what is known of the engines of a service.
type Model struct {
	Slots  int           `json:"slots"`  // answers at once
	KVTokens engine.Tokens `json:"memory"` // for prompts and answers
	// Replicates says that an engine can keep a running copy of a generation at
	// another one.
	Replicates bool `json:"copies,omitempty"`
	// Checkpoints says that an engine copies a generation's memory on order.
	Checkpoints bool `json:"moves,omitempty"`
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name ServiceName `json:"name"`
	// HealthPath is where a backend server tells whether it is well.
	HealthPath string `json:"healthPath"`
	// MaxConnections is what one backend server accepts from all callers.
	MaxConnections int `json:"maxConnections"`
	// Model is set for model engines and nil for plain services.
	Model *Model `json:"model,omitempty"`
}

// Limits bound what a caller may send. Zero fields set no bound.
type Limits struct {
	HeaderBytes int64         `json:"headerBytes"`
	BodyBytes   int64         `json:"bodyBytes"`
	HeaderTimeout    time.Duration `json:"headerByNs"` // for the headers to arrive
	IdleTimeout        time.Duration `json:"idleNs"`     // of a connection between two requests
}

// OrganisationConfig is an organisation with its keys.
type OrganisationConfig struct {
	Name Organisation `json:"name"`
	Keys []Key        `json:"keys"`
	// Priority goes before the route's; nil leaves the route's.
	Priority *Priority `json:"priority,omitempty"`
}

// Config is one version of the whole configuration.
type Config struct {
	Version       Version   `json:"version"`
	Routes        []Route   `json:"routes"`
	Services      []Service `json:"services"`
	Organisations []OrganisationConfig `json:"organisations"`
	Limits        Limits    `json:"limits"`
}

// Check returns the first fault that keeps the configuration from being used.
func (c *Config) Check() error {
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return result.New(result.BadReference, "prefix %q of route %s", r.Prefix, r.Name).On("prefix")
		case len(r.Splits) == 0:
			return result.New(result.MissingField, "route %s leads to no service", r.Name).On("service")
		}
	}
	return nil
}

// Table finds routes and organisations of a configuration. Use [NewTable]; it
// does not change, so that any goroutine may use it.
type Table struct {
	Config
	byHost   map[string][]*Route // longest prefix first
	services map[ServiceName]*Service
	byKey    map[Key]*OrganisationConfig
}

// NewTable returns the table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config:   c,
		byHost:   make(map[string][]*Route),
		services: make(map[ServiceName]*Service, len(c.Services)),
		byKey:    make(map[Key]*OrganisationConfig),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			t.byKey[k] = &c.Organisations[i]
		}
	}
	return t
}

// Route returns the route for a host and path, the one with the longest prefix.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(n ServiceName) (*Service, bool) {
	s, ok := t.services[n]
	return s, ok
}

// Organisation returns the organisation that holds a key.
func (t *Table) Organisation(k Key) (*OrganisationConfig, bool) {
	o, ok := t.byKey[k]
	return o, ok
}

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return len(t.Organisations) > 0 }
