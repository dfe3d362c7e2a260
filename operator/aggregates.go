// Package operator holds the configuration objects that operators write
// (deployments, routes, presets, organisations and services), the
// configuration that an entry VM builds from them, and the HTTP API through
// which operators read and change it, with its client.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"quetzalhold/engine"
	"quetzalhold/limit"
	"quetzalhold/move"
	"quetzalhold/names"
	"quetzalhold/objects"
	"quetzalhold/result"
	"quetzalhold/settings"
)

// The kinds of configuration objects.
const (
	KindDeployment   objects.Kind = "deployment"
	KindRoute        objects.Kind = "route"
	KindPreset       objects.Kind = "preset"
	KindOrganisation objects.Kind = "organisation"
	KindService      objects.Kind = "service"
	KindInForce      objects.Kind = "inForce"
)

// Kinds returns the kinds of configuration objects, ordered so that a kind
// comes after the kinds it refers to. Objects of other kinds, such as bookings
// and leases, are not configuration: entry VMs don't watch them, keep them in a
// [Store] or forward them to each other.
func Kinds() []objects.Kind {
	return []objects.Kind{KindDeployment, KindOrganisation, KindService, KindRoute, KindPreset, KindInForce, move.Kind}
}

// isKind reports whether k is a kind of configuration object.
func isKind(k objects.Kind) bool { return slices.Contains(Kinds(), k) }

// InForceName is the name of the only object of [KindInForce], which selects
// the preset in force.
const InForceName objects.Name = "preset"

// Model is a model's name in callers' requests.
type Model string

// DeploymentID names a deployment.
type DeploymentID string

// PresetID names a preset.
type PresetID string

// KeyDigest is the SHA-256 digest of an API key, in hexadecimal digits.
type KeyDigest string

// DigestKey returns the digest of an API key, as listed in [Organisation].
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// Deployment is a model version, optionally with an adapter, that engines serve.
type Deployment struct {
	Name    DeploymentID   `json:"name"`
	Version engine.Version `json:"version"`
	Adapter engine.Adapter `json:"adapter,omitempty"`
	// FencedOrders is set if the deployment's engines refuse orders with an
	// outdated fencing number.
	FencedOrders bool `json:"fencedOrders"`
}

// Check returns every fault of the deployment.
func (d *Deployment) Check() []*result.Error {
	return concat(
		required("name", d.Name),
		required("version", d.Version),
	)
}

// Route sends requests for Model to a deployment.
type Route struct {
	Name          objects.Name `json:"name"`
	Model         Model        `json:"model"`
	Deployment    DeploymentID `json:"deployment"`
	Organisations []string     `json:"organisations,omitempty"` // names in any scheme; empty means all organisations
}

// Check returns every fault of the route.
func (r *Route) Check() []*result.Error {
	return concat(
		required("name", r.Name),
		required("model", r.Model),
		required("deployment", r.Deployment),
	)
}

// Preset is a named set of limits, such as one for peak days. One preset at a
// time is in force on all entry VMs.
type Preset struct {
	Name PresetID `json:"name"`
	// MaxAnswers is the number of concurrent answers at one entry VM.
	MaxAnswers int `json:"maxAnswers"`
	// MaxQueue is the number of requests queued at one entry VM; 0 means the
	// same as MaxAnswers.
	MaxQueue int `json:"maxQueue,omitempty"`
	// MaxWaitMs is the longest time in the queue; 5 s if 0. A request that
	// would wait longer is refused at once.
	MaxWaitMs settings.Millis `json:"maxWaitMs,omitempty"`
	// LimitsFactor multiplies the organisations' fleet-wide limits; 1 if 0.
	LimitsFactor float64 `json:"limitsFactor,omitempty"`
	// MaxTokens is the maximum length of one answer, in tokens.
	MaxTokens engine.Tokens `json:"maxTokens"`
	// NewAnswers is whether new requests for answers are admitted. Answers in
	// progress are finished either way.
	NewAnswers bool `json:"newAnswers"`
}

// Check returns every fault of the preset.
func (p *Preset) Check() []*result.Error {
	return concat(
		required("name", p.Name),
		positive("maxAnswers", p.MaxAnswers),
		positive("maxTokens", p.MaxTokens),
		notNegative("maxQueue", p.MaxQueue),
		notNegative("maxWaitMs", p.MaxWaitMs),
		notNegative("limitsFactor", p.LimitsFactor),
	)
}

// defaultMaxWait is the longest time in the queue if the preset sets none.
const defaultMaxWait = 5 * time.Second

// Policy returns the admission limits of one entry VM under the preset.
func (p *Preset) Policy() limit.Policy {
	l := limit.Policy{MaxAnswers: p.MaxAnswers, MaxQueue: p.MaxQueue, MaxWait: p.MaxWaitMs.Duration()}
	if !p.NewAnswers {
		l.MaxAnswers = 0
	}
	if l.MaxQueue == 0 {
		l.MaxQueue = p.MaxAnswers
	}
	if l.MaxWait == 0 {
		l.MaxWait = defaultMaxWait
	}
	return l
}

// InForce selects the preset in force.
type InForce struct {
	Preset PresetID `json:"preset"`
}

// Check returns every fault of the selection.
func (f *InForce) Check() []*result.Error { return required("preset", f.Preset) }

// Organisation is a customer whose callers send requests.
type Organisation struct {
	Names names.Set   `json:"names"`
	Keys  []KeyDigest `json:"keys"`
	// Priority is the priority of its requests on the engines, higher first,
	// and sets its weight in the fair queue.
	Priority engine.Priority `json:"priority"`
	// MaxAnswers is the number of its concurrent answers at one entry VM; 0 if
	// only the preset limits them.
	MaxAnswers int `json:"maxAnswers,omitempty"`
	// TokensPerSecond and Answers are fleet-wide limits on the rate of prefilled
	// and generated tokens and on concurrent answers; 0 for no limit.
	TokensPerSecond limit.Rate `json:"tokensPerSecond,omitempty"`
	Answers         int        `json:"answers,omitempty"`
}

// Limits returns the organisation's fleet-wide limits under a preset.
func (o *Organisation) Limits(p *Preset) limit.Limits {
	f := 1.0
	if p != nil && p.LimitsFactor > 0 {
		f = p.LimitsFactor
	}
	return limit.Limits{
		Tokens:  o.TokensPerSecond * limit.Rate(f),
		Answers: int(math.Ceil(float64(o.Answers) * f)),
	}
}

// Weight returns the organisation's weight in the entry VM's fair queue.
func (o *Organisation) Weight() float64 { return 1 + float64(o.Priority)/float64(engine.PriorityHigh) }

// Check returns every fault of the organisation.
func (o *Organisation) Check() []*result.Error {
	faults := concat(
		o.Names.Check("names"),
		notNegative("maxAnswers", o.MaxAnswers),
		notNegative("tokensPerSecond", o.TokensPerSecond),
		notNegative("answers", o.Answers),
	)
	if o.Priority < engine.PriorityNormal || o.Priority > engine.PriorityHigh {
		faults = append(faults, result.New(result.OutOfRange, "want %d to %d",
			engine.PriorityNormal, engine.PriorityHigh).WithField("priority"))
	}
	for i, k := range o.Keys {
		if b, err := hex.DecodeString(string(k)); err != nil || len(b) != sha256.Size {
			faults = append(faults, result.New(result.WrongType,
				"want a SHA-256 digest in hexadecimal digits").WithField(fmt.Sprintf("keys[%d]", i)))
		}
	}
	return faults
}

// Service is a plain service, one that needs no model, and the calls it accepts.
type Service struct {
	Names names.Set `json:"names"`
	Calls []Call    `json:"calls"`
}

// Call is a method and path that a service accepts.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"` // relative to the service; a pattern of http.ServeMux
	// Idempotent calls may be retried on another server; all others run at
	// most once.
	Idempotent bool `json:"idempotent"`
}

// Check returns every fault of the service.
func (s *Service) Check() []*result.Error {
	faults := s.Names.Check("names")
	if len(s.Calls) == 0 {
		faults = append(faults, result.New(result.MissingField, "a service needs a call").WithField("calls"))
	}
	for i, c := range s.Calls {
		field := fmt.Sprintf("calls[%d]", i)
		if !isMethod(c.Method) {
			faults = append(faults, result.New(result.OutOfRange, "%q is no method", c.Method).WithField(field+".method"))
		}
		if len(c.Path) == 0 || c.Path[0] != '/' {
			faults = append(faults, result.New(result.OutOfRange, "want a path that begins with /").WithField(field+".path"))
		}
	}
	return faults
}

func isMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch, http.MethodHead:
		return true
	}
	return false
}

// checker is the decoded value of a configuration object.
type checker interface {
	Check() []*result.Error
}

// UnmarshalJSON decodes and checks the deployment.
func (d *Deployment) UnmarshalJSON(b []byte) error {
	type plain Deployment
	return decodeAs(b, (*plain)(d), d)
}

// UnmarshalJSON decodes and checks the route.
func (r *Route) UnmarshalJSON(b []byte) error {
	type plain Route
	return decodeAs(b, (*plain)(r), r)
}

// UnmarshalJSON decodes and checks the preset.
func (p *Preset) UnmarshalJSON(b []byte) error {
	type plain Preset
	return decodeAs(b, (*plain)(p), p)
}

// UnmarshalJSON decodes and checks the selection.
func (f *InForce) UnmarshalJSON(b []byte) error {
	type plain InForce
	return decodeAs(b, (*plain)(f), f)
}

// UnmarshalJSON decodes and checks the organisation.
func (o *Organisation) UnmarshalJSON(b []byte) error {
	type plain Organisation
	return decodeAs(b, (*plain)(o), o)
}

// UnmarshalJSON decodes and checks the service.
func (s *Service) UnmarshalJSON(b []byte) error {
	type plain Service
	return decodeAs(b, (*plain)(s), s)
}

// decodeAs decodes b strictly into plain, then checks a. Both point to the same
// value; plain's type is a copy of a's type without its methods.
func decodeAs(b []byte, plain any, a checker) error {
	if faults := settings.DecodeStrict(b, plain); len(faults) > 0 {
		return settings.Join(faults)
	}
	return settings.Join(a.Check())
}

func concat(groups ...[]*result.Error) []*result.Error {
	var all []*result.Error
	for _, g := range groups {
		all = append(all, g...)
	}
	return all
}

func required[T ~string](field string, v T) []*result.Error {
	if v == "" {
		return []*result.Error{result.New(result.MissingField, "empty").WithField(field)}
	}
	return nil
}

func positive[T ~int | ~int64](field string, v T) []*result.Error {
	if v <= 0 {
		return []*result.Error{result.New(result.OutOfRange, "want above 0").WithField(field)}
	}
	return nil
}

// Interface checks.
var (
	_ json.Unmarshaler = (*Deployment)(nil)
	_ json.Unmarshaler = (*Route)(nil)
	_ json.Unmarshaler = (*Preset)(nil)
	_ json.Unmarshaler = (*InForce)(nil)
	_ json.Unmarshaler = (*Organisation)(nil)
	_ json.Unmarshaler = (*Service)(nil)
)

func notNegative[T ~int | ~int64 | ~float64](field string, v T) []*result.Error {
	if v < 0 {
		return []*result.Error{result.New(result.OutOfRange, "want 0 or above").WithField(field)}
	}
	return nil
}
