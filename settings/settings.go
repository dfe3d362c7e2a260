// Package settings reads the settings file of an entry VM, a JSON object. It
// reports all faults of a file together, each with the path of its field.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"time"

	"quetzalhold/names"
	"quetzalhold/result"
)

// Millis is a duration in milliseconds, as written in a settings file.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Bytes is a size in bytes.
type Bytes int64

// Entry is the settings of an entry VM that runs package entry.
type Entry struct {
	// ID is the entry VM's name in the platform's list.
	ID string `json:"id"`
	// Domain is the name of the entry VM's failure domain in any scheme.
	Domain string `json:"domain"`
	// Listen is the IP number and port for callers and operators.
	Listen string `json:"listen"`
	// Advertise is the address that the other entry VMs use; Listen if empty.
	Advertise string `json:"advertise,omitempty"`
	// Platform is the address of the platform's object API.
	Platform string `json:"platform"`
	// Peers are addresses of other entry VMs, from which the configuration is
	// read while the platform is down.
	Peers []string `json:"peers,omitempty"`
	// CursorKey authenticates the cursors with which callers resume answers. All
	// entry VMs have the same key of at least 32 bytes.
	CursorKey string `json:"cursorKey"`
	// OperatorKey is the bearer token of operators.
	OperatorKey string `json:"operatorKey"`
	// Places are the failure domains with their regions and names.
	Places []Place `json:"places"`
	// Scheme is the naming scheme that logs show first: code, title or legacy;
	// code if empty.
	Scheme string `json:"scheme,omitempty"`

	Limits    Limits    `json:"limits"`
	Clients   Clients   `json:"clients,omitzero"`
	Telemetry Telemetry `json:"telemetry"`
}

// Clients limits what clients may hold of a process before they have sent a complete request. Zero fields mean
// defaults, which connlimit.DefaultLimits derives from the limits of the process.
type Clients struct {
	// HeadBytes is the maximum size of a request's headers where the configuration sets none.
	HeadBytes Bytes `json:"headBytes,omitempty"`
	// HeadMemoryMB is the maximum memory of all unfinished heads, in 10^6 bytes.
	HeadMemoryMB int `json:"headMemoryMB,omitempty"`
	// IdleConnections is the maximum number of connections without a complete request.
	IdleConnections int `json:"idleConnections,omitempty"`
}

// minHeadBytes is the least limit on heads: those of ordinary clients have some hundred bytes, with cookies 4 KB.
const minHeadBytes Bytes = 4 << 10

// Place is a failure domain in a region.
type Place struct {
	Names  names.Set `json:"names"`
	Region names.Set `json:"region"`
}

// Limits is the limits and timeouts of one entry VM. Zero fields mean defaults.
type Limits struct {
	MaxBodyBytes    Bytes  `json:"maxBodyBytes,omitempty"`
	MaxHeaderBytes  Bytes  `json:"maxHeaderBytes,omitempty"`
	CallerStallMs   Millis `json:"callerStallMs,omitempty"`
	ServerWaitMs    Millis `json:"serverWaitMs,omitempty"`
	ResumeGraceMs   Millis `json:"resumeGraceMs,omitempty"`
	DrainMs         Millis `json:"drainMs,omitempty"`
	HistoryRequests int    `json:"historyRequests,omitempty"`
	// PlatformCalls is the maximum rate of calls to the platform, in calls per
	// second. Bursts may be of twice as many calls.
	PlatformCalls int    `json:"platformCalls,omitempty"`
	BookingKeepMs Millis `json:"bookingKeepMs,omitempty"`
}

// The defaults of Limits.
const (
	defaultMaxBodyBytes    Bytes  = 1 << 20
	defaultMaxHeaderBytes  Bytes  = 64 << 10
	defaultCallerStallMs   Millis = 60_000
	defaultServerWaitMs    Millis = 10_000
	defaultResumeGraceMs   Millis = 15_000
	defaultDrainMs         Millis = 15 * 60_000
	defaultHistoryRequests        = 10_000
	defaultPlatformCalls          = 50
	defaultBookingKeepMs   Millis = 60 * 60_000
)

// WithDefaults returns l with its zero fields set to the defaults.
func (l Limits) WithDefaults() Limits {
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaultMaxBodyBytes)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.CallerStallMs = cmp.Or(l.CallerStallMs, defaultCallerStallMs)
	l.ServerWaitMs = cmp.Or(l.ServerWaitMs, defaultServerWaitMs)
	l.ResumeGraceMs = cmp.Or(l.ResumeGraceMs, defaultResumeGraceMs)
	l.DrainMs = cmp.Or(l.DrainMs, defaultDrainMs)
	l.HistoryRequests = cmp.Or(l.HistoryRequests, defaultHistoryRequests)
	l.PlatformCalls = cmp.Or(l.PlatformCalls, defaultPlatformCalls)
	l.BookingKeepMs = cmp.Or(l.BookingKeepMs, defaultBookingKeepMs)
	return l
}

// Telemetry configures logs, traces and metrics.
type Telemetry struct {
	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"logLevel,omitempty"`
	// OTLP is the IP number and port to which traces and metrics are exported
	// over HTTP; nothing is exported if empty.
	OTLP string `json:"otlp,omitempty"`
	// TraceShare is the fraction of requests that are traced, 0 to 1.
	TraceShare float64 `json:"traceShare,omitempty"`
}

// MinCursorKey is the minimum length of the cursor key, in bytes.
const MinCursorKey = 32

// Load reads and checks a settings file. It returns all faults joined.
func Load(path string) (*Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsUnreadable, err, "read %s", errorPath(err, path))
	}
	return Parse(raw)
}

func errorPath(err error, path string) string {
	var pe *fs.PathError
	if errors.As(err, &pe) {
		return pe.Path
	}
	return path
}

// Parse decodes and checks settings. It returns all faults joined.
func Parse(raw []byte) (*Entry, error) {
	var e Entry
	faults := DecodeStrict(raw, &e)
	if len(faults) == 1 && faults[0].Code == result.SettingsUnreadable {
		return nil, faults[0]
	}
	// Check even if decoding failed: a fault in one field must not hide those in
	// others.
	faults = append(faults, e.Check()...)
	if len(faults) > 0 {
		return nil, Join(faults)
	}
	return &e, nil
}

// Join joins faults into one error, keeping only the first fault of each field.
func Join(faults []*result.Error) error {
	seen := make(map[string]bool)
	var errs []error
	for _, f := range faults {
		if f.Field != "" && seen[f.Field] {
			continue
		}
		seen[f.Field] = true
		errs = append(errs, f)
	}
	return errors.Join(errs...)
}

// Check returns every fault of the settings.
func (e *Entry) Check() []*result.Error {
	var c checker
	c.required("id", e.ID)
	c.address("listen", e.Listen)
	c.address("platform", e.Platform)
	if e.Advertise != "" {
		c.address("advertise", e.Advertise)
	}
	for i, p := range e.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), p)
	}
	if len(e.CursorKey) < MinCursorKey {
		c.add(result.OutOfRange, "cursorKey", "want %d bytes or more", MinCursorKey)
	}
	c.required("operatorKey", e.OperatorKey)
	if e.Scheme != "" {
		if _, err := names.ParseScheme(e.Scheme); err != nil {
			c.add(result.UnknownName, "scheme", "%s", result.FromError(err).Detail)
		}
	}
	c.places(e)
	c.limits(e.Limits)
	c.clients(e.Clients, 0, 0)
	if h := e.Clients.HeadBytes; h > 0 && h < e.Limits.WithDefaults().MaxHeaderBytes {
		c.add(result.OutOfRange, "clients.headBytes", "%d is below limits.maxHeaderBytes", h)
	}
	c.telemetry(e.Telemetry)
	return c.faults
}

// checker collects the faults found by its methods.
type checker struct {
	faults []*result.Error
}

func (c *checker) add(code result.Code, field, format string, args ...any) {
	c.faults = append(c.faults, result.New(code, format, args...).WithField(field))
}

func (c *checker) required(field, v string) {
	if v == "" {
		c.add(result.MissingField, field, "empty")
	}
}

func (c *checker) address(field, v string) {
	if v == "" {
		c.add(result.MissingField, field, "empty")
		return
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(result.NotIPNumber, field, "%q is no IP number with a port", v)
	}
}

func (c *checker) places(e *Entry) {
	if len(e.Places) == 0 {
		c.add(result.MissingField, "places", "no failure domain is listed")
		return
	}
	for i, p := range e.Places {
		c.faults = append(c.faults, p.Names.Check(fmt.Sprintf("places[%d].names", i))...)
		c.faults = append(c.faults, p.Region.Check(fmt.Sprintf("places[%d].region", i))...)
	}
	reg, fault := registerPlaces(e.Places)
	if fault != nil {
		c.faults = append(c.faults, fault)
	}
	if e.Domain == "" {
		c.add(result.MissingField, "domain", "empty")
		return
	}
	if _, err := reg.Resolve(names.Domain, e.Domain); err != nil {
		c.add(result.UnknownDomain, "domain", "%q is not among the places", e.Domain)
	}
}

func (c *checker) limits(l Limits) {
	fields := []struct {
		name string
		v    int64
	}{
		{"maxBodyBytes", int64(l.MaxBodyBytes)},
		{"maxHeaderBytes", int64(l.MaxHeaderBytes)},
		{"callerStallMs", int64(l.CallerStallMs)},
		{"serverWaitMs", int64(l.ServerWaitMs)},
		{"resumeGraceMs", int64(l.ResumeGraceMs)},
		{"drainMs", int64(l.DrainMs)},
		{"historyRequests", int64(l.HistoryRequests)},
		{"platformCalls", int64(l.PlatformCalls)},
		{"bookingKeepMs", int64(l.BookingKeepMs)},
	}
	for _, f := range fields {
		if f.v < 0 {
			c.add(result.OutOfRange, "limits."+f.name, "%d is below 0", f.v)
		}
	}
}

// clients checks the limits of clients against the limits of the process; 0 stands for an unknown one.
func (c *checker) clients(l Clients, memoryMB, maxFDs int) {
	if l.HeadBytes != 0 && l.HeadBytes < minHeadBytes {
		c.add(result.OutOfRange, "clients.headBytes", "%d; want 0, or %d or more", l.HeadBytes, minHeadBytes)
	}
	for _, f := range []struct {
		name     string
		v, limit int
	}{{"clients.headMemoryMB", l.HeadMemoryMB, memoryMB}, {"clients.idleConnections", l.IdleConnections, maxFDs}} {
		switch {
		case f.v < 0:
			c.add(result.OutOfRange, f.name, "%d is below 0", f.v)
		case f.limit > 0 && f.v > f.limit:
			c.add(result.OutOfRange, f.name, "%d is above the process's limit of %d", f.v, f.limit)
		}
	}
}

func (c *checker) telemetry(t Telemetry) {
	switch t.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		c.add(result.OutOfRange, "telemetry.logLevel", "%q; want debug, info, warn or error", t.LogLevel)
	}
	if t.OTLP != "" {
		c.address("telemetry.otlp", t.OTLP)
	}
	if t.TraceShare < 0 || t.TraceShare > 1 {
		c.add(result.OutOfRange, "telemetry.traceShare", "%v; want 0 to 1", t.TraceShare)
	}
}

// registerPlaces returns a registry of the names of places and the first fault
// in them.
func registerPlaces(places []Place) (*names.Registry, *result.Error) {
	reg := &names.Registry{}
	var first *result.Error
	keepFirst := func(err error, field string) {
		if err != nil && first == nil {
			first = result.FromError(err).WithField(field)
		}
	}
	regions := make(map[names.ID]names.Set)
	for i, p := range places {
		field := fmt.Sprintf("places[%d]", i)
		keepFirst(reg.Add(names.Domain, p.Names), field+".names")
		switch known, ok := regions[p.Region.Code]; {
		case !ok:
			regions[p.Region.Code] = p.Region
			keepFirst(reg.Add(names.Region, p.Region), field+".region")
		case known != p.Region:
			keepFirst(result.New(result.NameClash, "region %q has other names elsewhere", p.Region.Code), field+".region")
		}
	}
	return reg, first
}

// Registry returns a registry of the names of the places. The settings must
// have passed Check.
func (e *Entry) Registry() *names.Registry {
	reg, _ := registerPlaces(e.Places)
	return reg
}

// DomainID returns the id of the entry VM's failure domain.
func (e *Entry) DomainID() names.ID {
	id, err := e.Registry().Resolve(names.Domain, e.Domain)
	if err != nil {
		return names.ID(e.Domain)
	}
	return id
}

// RegionOf returns the region of a failure domain, or "" if it is unknown.
func (e *Entry) RegionOf(d names.ID) names.ID {
	for _, p := range e.Places {
		if p.Names.Code == d {
			return p.Region.Code
		}
	}
	return ""
}

// DisplayScheme returns the scheme that logs show first.
func (e *Entry) DisplayScheme() names.Scheme {
	s, err := names.ParseScheme(e.Scheme)
	if err != nil {
		return names.ByCode
	}
	return s
}

// AdvertiseAddress returns the address that the other entry VMs connect to.
func (e *Entry) AdvertiseAddress() string {
	if e.Advertise != "" {
		return e.Advertise
	}
	return e.Listen
}
