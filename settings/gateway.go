package settings

import (
	"encoding/json"
	"os"
	"time"

	"quetzalhold/names"
	"quetzalhold/result"
)

// Seconds is a span of time in seconds, as settings state it.
type Seconds float64

// Duration returns the span as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Gateway is the settings of an entry VM on the users' platform.
type Gateway struct {
	// ID is the entry VM's name.
	ID string `json:"id"`
	// Domain is its failure domain.
	Domain names.ID `json:"domain"`
	// Regions has the region of each failure domain.
	Regions map[names.ID]names.ID `json:"regions"`
	// Listen is where callers connect, Readiness where the platform asks whether
	// it may send callers, and Peers where the other entry VMs connect.
	Listen    string `json:"listen"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	// Metrics is where metrics are scraped.
	Metrics string `json:"metrics"`
	// Seeds are addresses of other entry VMs; they may be stale.
	Seeds []string `json:"seeds"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// HeartbeatMs is how often backend servers write their entry.
	HeartbeatMs Millis `json:"heartbeatMs"`
	// MemoryMB bounds this process's memory, in 10^6 bytes.
	MemoryMB int `json:"memoryMB"`
	// LinkMbps is the bandwidth of the VM's link, in 10^6 bits a second; 0 if it is
	// not known.
	LinkMbps float64 `json:"linkMbps"`
	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel"`
	// OTLP is the IP number and port that traces are pushed to over HTTP; nothing is
	// traced if empty.
	OTLP string `json:"otlp,omitempty"`
	// TraceShare is the share of requests that are traced, 0 to 1.
	TraceShare float64 `json:"traceShare,omitempty"`

	Bounds Bounds `json:"bounds"`
}

// Bounds is what the users promise themselves of the system.
type Bounds struct {
	// DrainMs is how long a leaving backend server takes requests.
	DrainMs Millis `json:"drainMs"`
	// GraceS is the time between a stop signal and the kill.
	GraceS Seconds `json:"graceS"`
	// ConfigMs is how soon a configuration is in force.
	ConfigMs Millis `json:"configMs"`
	// RepeatRatio, RepeatSlack and RepeatWindowS bound what all entry VMs send
	// beyond the first time of each request of a service.
	RepeatRatio   float64 `json:"repeatRatio"`
	RepeatSlack   float64 `json:"repeatSlack"`
	RepeatWindowS Seconds `json:"repeatWindowS"`
	// BadShare and BadSlack bound what a bad version may get in a move.
	BadShare float64 `json:"badShare"`
	BadSlack float64 `json:"badSlack"`
	// RollbackMs is how soon a version that is bad gets nothing.
	RollbackMs Millis `json:"rollbackMs"`
}

// IsGateway reports whether a settings file is one of a gateway: it names the
// platform's store.
func IsGateway(raw []byte) bool {
	var top map[string]json.RawMessage
	if json.Unmarshal(raw, &top) != nil {
		return false
	}
	_, ok := top["store"]
	return ok
}

// LoadGateway reads and checks the settings of an entry VM on the users' platform.
// It returns all faults joined.
func LoadGateway(path string) (*Gateway, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsUnreadable, err, "read %s", pathOf(err, path))
	}
	return ParseGateway(raw)
}

// ParseGateway decodes and checks such settings. It returns all faults joined.
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
	c.needed("id", g.ID)
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

// Region returns a failure domain's region; a domain that is not listed is a
// region of its own.
func (g *Gateway) Region(d names.ID) names.ID {
	if r, ok := g.Regions[d]; ok {
		return r
	}
	return d
}
