// Package routing holds the configuration by which callers' requests are routed: routes by
// host and path, the services behind them, organisations by API key, and limits. It does no
// I/O.
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

// Kind says whether and how requests of a route may be retried.
type Kind int

// The kinds. The zero value is the most restrictive one.
const (
	NonIdempotent Kind = iota // non-idempotent
	Idempotent                // idempotent
	Stream                    // stream
)

// Identifiers used in the configuration.
type (
	// RouteName names a route.
	RouteName string
	// ServiceName names a service.
	ServiceName string
	// Organisation names an organisation.
	Organisation string
	// Key is an API key by which callers authenticate as an organisation.
	Key string
	// Version is the number of a configuration; newer configurations have higher numbers.
	Version int64
	// Priority is the priority of requests; 0 is the highest.
	Priority int
)

// Split is the share of a route's requests that goes to one service.
type Split struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// Route says which services handle the requests of a host and path prefix, and under which
// conditions.
type Route struct {
	Name     RouteName `json:"name"`
	Host     string    `json:"host"`
	Prefix   string    `json:"prefix"` // begins and ends with a slash
	Kind     Kind      `json:"kind"`
	Splits   []Split   `json:"splits"`
	Priority Priority  `json:"priority"`
	// Public routes require no key.
	Public bool `json:"public,omitempty"`
	// Resumable streams may be continued at another backend server.
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts is the number of backend servers to which one request may be sent.
	MaxAttempts int `json:"maxAttempts"`
	// Timeout is the longest time to keep a caller waiting; 0 for no limit.
	Timeout time.Duration `json:"timeoutNs,omitempty"`
	// LatencyTarget is the target latency of an answer, or of the first event of a stream.
	LatencyTarget time.Duration `json:"firstByNs,omitempty"`
	// GapTarget is the target for the time between two events of a stream.
	GapTarget time.Duration `json:"maxGapNs,omitempty"`
}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service that handles a request. Every entry VM returns the same one.
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

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(n ServiceName) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == n })
}

// Model describes the engines of a service.
type Model struct {
	Slots    int           `json:"slots"`  // maximum number of concurrent answers
	KVTokens engine.Tokens `json:"memory"` // KV cache for prompts and answers
	// Replicates is set if an engine can keep a replica of a generation's KV cache at another
	// engine while it generates.
	Replicates bool `json:"copies,omitempty"`
	// Checkpoints is set if an engine copies a generation's KV cache to another engine on request.
	Checkpoints bool `json:"moves,omitempty"`
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name ServiceName `json:"name"`
	// HealthPath is the path of a backend server's health check.
	HealthPath string `json:"healthPath"`
	// MaxConnections is the number of connections that one backend server accepts from all
	// clients.
	MaxConnections int `json:"maxConnections"`
	// Model is set for model engines and nil for plain services.
	Model *Model `json:"model,omitempty"`
}

// Limits bounds the requests and connections of callers. A zero field sets no limit.
type Limits struct {
	HeaderBytes   int64         `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerByNs"` // time for the headers to arrive
	IdleTimeout   time.Duration `json:"idleNs"`     // time for which a connection may be idle between requests
}

// OrganisationConfig is an organisation with its API keys.
type OrganisationConfig struct {
	Name Organisation `json:"name"`
	Keys []Key        `json:"keys"`
	// Priority overrides the route's priority; nil keeps it.
	Priority *Priority `json:"priority,omitempty"`
}

// Config is one version of the whole configuration.
type Config struct {
	Version       Version              `json:"version"`
	Routes        []Route              `json:"routes"`
	Services      []Service            `json:"services"`
	Organisations []OrganisationConfig `json:"organisations"`
	Limits        Limits               `json:"limits"`
}

// Check returns the first error that makes the configuration unusable, or nil.
func (c *Config) Check() error {
	for i := range c.Routes {
		r := &c.Routes[i]
		switch {
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			return result.New(result.BadReference, "prefix %q of route %s", r.Prefix, r.Name).WithField("prefix")
		case len(r.Splits) == 0:
			return result.New(result.MissingField, "route %s leads to no service", r.Name).WithField("service")
		}
	}
	return nil
}

// Table looks up the routes, services and organisations of a configuration. It is created by
// [NewTable] and immutable, so it is safe for concurrent use.
type Table struct {
	Config
	byHost   map[string][]*Route // longest prefix first
	services map[ServiceName]*Service
	byKey    map[Key]*OrganisationConfig
	// differ holds the services whose stream routes differ in priority.
	differ map[ServiceName]bool
}

// NewTable returns the lookup table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config:   c,
		byHost:   make(map[string][]*Route),
		services: make(map[ServiceName]*Service, len(c.Services)),
		byKey:    make(map[Key]*OrganisationConfig),
		differ:   make(map[ServiceName]bool),
	}
	first := make(map[ServiceName]Priority)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, s := range r.Splits {
			if r.Kind != Stream {
				continue
			}
			if p, ok := first[s.Service]; !ok {
				first[s.Service] = r.Priority
			} else if p != r.Priority {
				t.differ[s.Service] = true
			}
		}
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

// Route returns the route for a host and path: of the matching routes, the one with the
// longest prefix.
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

// PrioritiesDiffer reports whether the stream routes that lead to a service differ in priority.
func (t *Table) PrioritiesDiffer(n ServiceName) bool { return t.differ[n] }

// Organisation returns the organisation that a key belongs to.
func (t *Table) Organisation(k Key) (*OrganisationConfig, bool) {
	o, ok := t.byKey[k]
	return o, ok
}

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return len(t.Organisations) > 0 }
