package settings

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"quetzalhold/names"
	"quetzalhold/result"
)

// Seconds is a duration in seconds, as written in a settings file.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Gateway is the settings of an entry VM that runs package gateway.
type Gateway struct {
	// ID is the entry VM's name.
	ID string `json:"id"`
	// Domain is the entry VM's failure domain.
	Domain names.ID `json:"domain"`
	// Regions maps each failure domain to its region.
	Regions map[names.ID]names.ID `json:"regions"`
	// Listen is the address for callers, Readiness the one for the platform's
	// readiness probes and Peers the one for other entry VMs.
	Listen    string `json:"listen"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	// Metrics is the address where metrics are scraped.
	Metrics string `json:"metrics"`
	// Seeds are addresses of other entry VMs to contact at the start; they may
	// be outdated.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// HeartbeatMs is the interval at which backend servers write their entry to
	// the store.
	HeartbeatMs Millis `json:"heartbeatMs"`
	// MemoryMB is the memory limit of this process, in 10^6 bytes.
	MemoryMB int `json:"memoryMB"`
	// LinkMbps is the bandwidth of the VM's network link, in 10^6 bits per second;
	// 0 if unknown.
	LinkMbps float64 `json:"linkMbps"`
	// MaxFDs is the limit on open file descriptors of this process; 0 if unknown.
	MaxFDs int `json:"maxFds,omitempty"`
	// Agreements are the names of the agreements with clients and servers that hold on the
	// deployment, as package platform names them. Unknown ones have no effect.
	Agreements []string `json:"agreements,omitempty"`
	// SlowReaderMemoryMB is the memory for what callers that read slowly have not read of their
	// streams, in 10^6 bytes; 0 for 8% of MemoryMB. It is in force with the agreement pressure.
	SlowReaderMemoryMB int `json:"slowReaderMemoryMB,omitempty"`
	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel"`
	// OTLP is the IP number and port to which traces are exported over HTTP;
	// tracing is off if empty.
	OTLP string `json:"otlp,omitempty"`
	// TraceShare is the fraction of requests that are traced, 0 to 1.
	TraceShare float64 `json:"traceShare,omitempty"`

	Clients Clients `json:"clients,omitzero"`
	Bounds  Bounds  `json:"bounds"`
}

// Bounds is the requirements that the users set for the system.
type Bounds struct {
	// DrainMs is how long a draining backend server still accepts requests.
	DrainMs Millis `json:"drainMs"`
	// GraceS is the time between the signal to stop and the kill.
	GraceS Seconds `json:"graceS"`
	// ConfigMs is the time within which a configuration must be in force.
	ConfigMs Millis `json:"configMs"`
	// RepeatRatio, RepeatSlack and RepeatWindowS limit the retries of a service's
	// requests by all entry VMs together: within a window, at most RepeatRatio
	// times the number of requests plus RepeatSlack.
	RepeatRatio   float64 `json:"repeatRatio"`
	RepeatSlack   float64 `json:"repeatSlack"`
	RepeatWindowS Seconds `json:"repeatWindowS"`
	// BadShare and BadSlack limit the requests that a bad version may get during
	// a move.
	BadShare float64 `json:"badShare"`
	BadSlack float64 `json:"badSlack"`
	// RollbackMs is the time within which a version found to be bad must stop
	// getting requests.
	RollbackMs Millis `json:"rollbackMs"`
}

// IsGateway reports whether a settings file is for [Gateway] rather than
// [Entry]: only the former has the key "store".
func IsGateway(raw []byte) bool {
	var top map[string]json.RawMessage
	if json.Unmarshal(raw, &top) != nil {
		return false
	}
	_, ok := top["store"]
	return ok
}

// LoadGateway reads and checks a settings file for [Gateway]. It returns all
// faults joined.
func LoadGateway(path string) (*Gateway, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsUnreadable, err, "read %s", errorPath(err, path))
	}
	return ParseGateway(raw)
}

// ParseGateway decodes and checks settings for [Gateway]. It returns all faults
// joined.
func ParseGateway(raw []byte) (*Gateway, error) {
	var g Gateway
	faults := DecodeStrict(raw, &g)
	if len(faults) == 1 && faults[0].Code == result.SettingsUnreadable {
		return nil, faults[0]
	}
	faults = append(faults, g.Check()...)
	if len(faults) > 0 {
		return nil, Join(faults)
	}
	return &g, nil
}

// Check returns every fault of the settings.
func (g *Gateway) Check() []*result.Error {
	var c checker
	c.required("id", g.ID)
	c.address("listen", g.Listen)
	c.address("readiness", g.Readiness)
	c.address("peers", g.Peers)
	c.address("metrics", g.Metrics)
	c.address("store", g.Store)
	if g.OTLP != "" {
		c.address("otlp", g.OTLP)
	}
	if g.TraceShare < 0 || g.TraceShare > 1 {
		c.add(result.OutOfRange, "traceShare", "%v; want 0 to 1", g.TraceShare)
	}
	if g.MaxFDs < 0 {
		c.add(result.OutOfRange, "maxFds", "%d is below 0", g.MaxFDs)
	}
	if g.SlowReaderMemoryMB < 0 {
		c.add(result.OutOfRange, "slowReaderMemoryMB", "%d is below 0", g.SlowReaderMemoryMB)
	}
	c.clients(g.Clients, g.MemoryMB, g.MaxFDs)
	if _, ok := g.Regions[g.Domain]; !ok {
		c.add(result.UnknownDomain, "domain", "%q has no region", g.Domain)
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"heartbeatMs", float64(g.HeartbeatMs)},
		{"bounds.drainMs", float64(g.Bounds.DrainMs)},
		{"bounds.graceS", float64(g.Bounds.GraceS)},
		{"bounds.configMs", float64(g.Bounds.ConfigMs)},
		{"bounds.repeatWindowS", float64(g.Bounds.RepeatWindowS)},
	} {
		if f.value <= 0 {
			c.add(result.OutOfRange, f.name, "%v is not above 0", f.value)
		}
	}
	return c.faults
}

// Agreed reports whether an agreement holds on the deployment.
func (g *Gateway) Agreed(name string) bool { return slices.Contains(g.Agreements, name) }

// Region returns the region of a failure domain. A domain that is not listed in
// Regions counts as a region of its own.
func (g *Gateway) Region(d names.ID) names.ID {
	if r, ok := g.Regions[d]; ok {
		return r
	}
	return d
}
