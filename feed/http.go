package feed

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/http1"
	"quetzalhold/names"
	"quetzalhold/quarantine"
	"quetzalhold/result"
)

// Path is the URL path of the feed on entry VMs.
const Path = "/feed"

// Query encodes the request as the query of a URL.
func (q *Request) Query() url.Values {
	v := url.Values{
		"id":      {string(q.From.ID)},
		"address": {q.From.Address},
		"domain":  {string(q.From.Domain)},
		"link":    {strconv.Itoa(q.From.LinkMbps)},
		"epoch":   {string(q.Epoch)},
		"seq":     {strconv.FormatInt(q.Seq, 10)},
		"config":  {strconv.FormatInt(int64(q.Config), 10)},
		"begun":   {strconv.FormatBool(q.Starting)},
		"waitMs":  {strconv.FormatInt(q.Wait.Milliseconds(), 10)},
	}
	if q.Brief {
		v.Set("brief", "true")
	}
	if q.Members > 0 {
		v.Set("members", strconv.FormatUint(q.Members, 10))
	}
	if q.Moves > 0 {
		v.Set("moves", strconv.FormatInt(q.Moves, 10))
	}
	if q.Crashes > 0 {
		v.Set("crashes", strconv.FormatInt(q.Crashes, 10))
	}
	// Marshalling numbers and strings cannot fail.
	if len(q.Counts) > 0 {
		b, _ := json.Marshal(q.Counts)
		v.Set("ran", string(b))
	}
	if len(q.NewCrashes) > 0 {
		b, _ := json.Marshal(q.NewCrashes)
		v.Set("newCrashes", string(b))
	}
	for _, n := range q.ClearedCrashes {
		v.Add("clearedCrash", string(n))
	}
	for _, u := range q.Usage {
		v.Add("usage", fmt.Sprintf("%s %d %d %g %g %t", u.Service, u.Requests, u.Retries, u.Earned, u.Limit, u.Short))
	}
	for _, l := range q.ServerLimits {
		v.Add("serverLimit", fmt.Sprintf("%s %d %g %d", l.ID, l.Start, l.Rate, l.AgeMs))
	}
	for _, d := range q.Demands {
		v.Add("demand", fmt.Sprintf("%s %d %g %d", d.Server, d.Start, d.Rate, d.Count))
	}
	for _, x := range q.Crowds {
		v.Add("crowd", fmt.Sprintf("%s %g %d", x.Service, x.Share, x.AgeMs))
	}
	q.addAdmission(v)
	addSamples(v, q.Samples)
	addStarts(v, "hung", q.Hung)
	addStarts(v, "leaving", q.Leaving)
	return v
}

func addStarts(v url.Values, name string, list []ServerStart) {
	for _, s := range list {
		v.Add(name, fmt.Sprintf("%s %d", s.ID, s.Start))
	}
}

func parseStarts(v url.Values, name string) ([]ServerStart, error) {
	var list []ServerStart
	for _, field := range v[name] {
		var s ServerStart
		if _, err := fmt.Sscanf(field, "%s %d", &s.ID, &s.Start); err != nil {
			return nil, result.Wrap(result.BadRequest, err, "%s", name).WithField(name)
		}
		list = append(list, s)
	}
	return list, nil
}

// parseUsage parses the usage of one service.
func parseUsage(s string) (backend.Usage, error) {
	var u backend.Usage
	n, err := fmt.Sscanf(s, "%s %d %d %g %g %t", &u.Service, &u.Requests, &u.Retries, &u.Earned, &u.Limit, &u.Short)
	// Entry VMs of an earlier version, which have no limits, report three fields.
	if err != nil && (n != 3 || len(strings.Fields(s)) != n) {
		return u, result.Wrap(result.BadRequest, err, "usage").WithField("usage")
	}
	if u.Requests < 0 || u.Retries < 0 || !isCount(u.Earned) || !isCount(u.Limit) {
		return u, result.New(result.OutOfRange, "%q", s).WithField("usage")
	}
	return u, nil
}

// parseLimits parses the limits and the load of servers that the requester reports, and its demands for
// permits.
func (q *Request) parseLimits(v url.Values) error {
	for _, s := range v["serverLimit"] {
		var l ServerLimit
		if _, err := fmt.Sscanf(s, "%s %d %g %d", &l.ID, &l.Start, &l.Rate, &l.AgeMs); err != nil {
			return result.Wrap(result.BadRequest, err, "serverLimit").WithField("serverLimit")
		}
		if err := l.check(); err != nil {
			return err
		}
		q.ServerLimits = append(q.ServerLimits, l)
	}
	for _, s := range v["demand"] {
		var d backend.Demand
		if _, err := fmt.Sscanf(s, "%s %d %g %d", &d.Server, &d.Start, &d.Rate, &d.Count); err != nil {
			return result.Wrap(result.BadRequest, err, "demand").WithField("demand")
		}
		if (Limit{Rate: d.Rate}).check() != nil || d.Count < 0 {
			return result.New(result.OutOfRange, "%q", s).WithField("demand")
		}
		q.Demands = append(q.Demands, d)
	}
	for _, s := range v["crowd"] {
		var x backend.Crowd
		if _, err := fmt.Sscanf(s, "%s %g %d", &x.Service, &x.Share, &x.AgeMs); err != nil {
			return result.Wrap(result.BadRequest, err, "crowd").WithField("crowd")
		}
		if err := checkCrowd(x); err != nil {
			return err
		}
		q.Crowds = append(q.Crowds, x)
	}
	return nil
}

// isCount reports whether x is a number of retries, of which a part may be earned.
func isCount(x float64) bool { return x >= 0 && x <= math.MaxInt32 }

// maxWait is the longest wait for changes that a requester may ask for.
const maxWait = 5 * time.Second

// ParseRequest parses a request from the query of a URL.
func ParseRequest(v url.Values) (Request, error) {
	q := Request{
		From:     Member{ID: MemberID(v.Get("id")), Address: v.Get("address"), Domain: names.ID(v.Get("domain"))},
		Epoch:    Epoch(v.Get("epoch")),
		Starting: v.Get("begun") == "true",
		Brief:    v.Get("brief") == "true",
	}
	var link int64
	for _, f := range []struct {
		name string
		into *int64
	}{{"seq", &q.Seq}, {"config", (*int64)(&q.Config)}, {"waitMs", (*int64)(&q.Wait)}, {"link", &link}} {
		n, err := strconv.ParseInt(v.Get(f.name), 10, 64)
		if err != nil {
			return q, result.Wrap(result.BadRequest, err, "%s", f.name).WithField(f.name)
		}
		*f.into = n
	}
	q.From.LinkMbps = int(link)
	if s := v.Get("members"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return q, result.Wrap(result.BadRequest, err, "members").WithField("members")
		}
		q.Members = n
	}
	for _, f := range []struct {
		name string
		into *int64
	}{{"moves", &q.Moves}, {"crashes", &q.Crashes}} {
		s := v.Get(f.name)
		if s == "" {
			continue
		}
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return q, result.Wrap(result.BadRequest, err, "%s", f.name).WithField(f.name)
		}
		*f.into = n
	}
	if s := v.Get("ran"); s != "" {
		if err := json.Unmarshal([]byte(s), &q.Counts); err != nil {
			return q, result.Wrap(result.BadRequest, err, "ran").WithField("ran")
		}
	}
	for _, s := range v["usage"] {
		u, err := parseUsage(s)
		if err != nil {
			return q, err
		}
		q.Usage = append(q.Usage, u)
	}
	q.Wait = min(maxWait, max(0, q.Wait*time.Millisecond))
	if err := q.parseCrashes(v); err != nil {
		return q, err
	}
	if err := q.parseLimits(v); err != nil {
		return q, err
	}
	if err := q.parseAdmission(v); err != nil {
		return q, err
	}
	var err error
	if q.Samples, err = parseSamples(v); err != nil {
		return q, err
	}
	if q.Hung, err = parseStarts(v, "hung"); err != nil {
		return q, err
	}
	q.Leaving, err = parseStarts(v, "leaving")
	return q, err
}

// parseCrashes parses the crashes that the requester reports.
func (q *Request) parseCrashes(v url.Values) error {
	if s := v.Get("newCrashes"); s != "" {
		if err := json.Unmarshal([]byte(s), &q.NewCrashes); err != nil {
			return result.Wrap(result.BadRequest, err, "newCrashes").WithField("newCrashes")
		}
	}
	if len(q.NewCrashes) == 0 {
		q.NewCrashes = nil
	}
	for i := range q.NewCrashes {
		if err := q.NewCrashes[i].Check(); err != nil {
			return err
		}
	}
	for _, n := range v["clearedCrash"] {
		q.ClearedCrashes = append(q.ClearedCrashes, quarantine.Name(n))
	}
	return nil
}

// Server serves the feed to other entry VMs. All fields must be set.
type Server struct {
	Members *Members
	Log     *Log
	// OnHung receives the servers that the requester has found to hang.
	OnHung func([]ServerStart)
	// OnLeaving receives the servers that have said to the requester that they are leaving.
	OnLeaving func([]ServerStart)
	// OnServerLimits receives the limits that servers have named to the requester.
	OnServerLimits func([]ServerLimit)
	// OnNewerConfig is called with a requester that has a newer configuration.
	OnNewerConfig func(Member)
	// OnCounts receives what the requester has counted of services in moves.
	OnCounts func([]ServiceCounts)
	// OnCrashes receives the crashes that the requester has observed, and those of which it has
	// found all parts to be sound.
	OnCrashes func(observed []quarantine.Crash, cleared []quarantine.Name)
	// Respond returns the changes for a request.
	Respond func(Request) Response

	compressor compressor
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := ParseRequest(r.URL.Query())
	if err != nil {
		result.Write(w, err)
		return
	}
	if q.Starting {
		s.Members.MarkFresh(time.Now(), q.From)
	} else {
		s.Members.MarkSeen(time.Now(), q.From)
	}
	if len(q.Hung) > 0 {
		s.OnHung(q.Hung)
	}
	if len(q.Leaving) > 0 {
		s.OnLeaving(q.Leaving)
	}
	if len(q.ServerLimits) > 0 {
		s.OnServerLimits(q.ServerLimits)
	}
	if len(q.Counts) > 0 {
		s.OnCounts(q.Counts)
	}
	if len(q.NewCrashes)+len(q.ClearedCrashes) > 0 {
		s.OnCrashes(q.NewCrashes, q.ClearedCrashes)
	}
	if s.Log.configVersion() < q.Config {
		s.OnNewerConfig(q.From)
	}
	if changed := s.Log.Changed(q); changed != nil && q.Wait > 0 {
		t := time.NewTimer(q.Wait)
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
	}
	if r.Context().Err() != nil {
		return // and has perhaps sent a later request
	}
	a := s.Respond(q)
	a.Self = s.Members.Self
	if a.MembersDigest = s.Members.Digest(); a.MembersDigest != q.Members && !q.Brief {
		a.Members = s.Members.List()
	}
	w.Header().Set("Content-Type", "application/json")
	if (a.Full || len(a.Members) > 0) && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		if b, err := s.compressor.encode(&a); err == nil {
			w.Header().Set("Content-Encoding", "gzip")
			// The requester may have disconnected; the error cannot be reported to it.
			_, _ = w.Write(b)
			return
		}
	}
	_ = json.NewEncoder(w).Encode(&a) // as above
}

// compressor encodes long responses. Many entry VMs may ask for a list of all servers at once, over
// the one link of this one. A writer of package gzip takes up about a megabyte, so that there is one
// for all responses. The zero value is ready to use.
type compressor struct {
	mu sync.Mutex
	w  *gzip.Writer
}

func (c *compressor) encode(a *Response) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b bytes.Buffer
	if c.w == nil {
		w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("compress feed response: %w", err)
		}
		c.w = w
	}
	c.w.Reset(&b)
	if err := json.NewEncoder(c.w).Encode(a); err != nil {
		return nil, fmt.Errorf("encode feed response: %w", err)
	}
	if err := c.w.Close(); err != nil {
		return nil, fmt.Errorf("compress feed response: %w", err)
	}
	return b.Bytes(), nil
}

// Client requests changes from other entry VMs. It is created by [NewClient].
type Client struct{ http *http.Client }

// Limits of a client.
const (
	// dialTimeout bounds opening a connection; other regions are 60 ms away.
	dialTimeout = 400 * time.Millisecond
	// headerGrace is added to the requested wait as the time limit for the response to begin,
	// and bodyTimeout is the time limit from there on: a list of 3,000 servers is 750 KB,
	// which must fit through links of 10 Mbit/s.
	headerGrace = 400 * time.Millisecond
	bodyTimeout = 1500 * time.Millisecond
	maxBody     = 8 << 20
)

// NewClient returns a client that opens connections with d; if d is nil, it uses a
// [net.Dialer].
func NewClient(d engine.Dialer) *Client {
	if d == nil {
		d = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{http: &http.Client{Transport: http1.New(&http.Transport{DialContext: engine.TimeoutDialer(d), MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: engine.MaxHeaderBytes})}}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Fetch sends a request to a member. It closes the connection after a failure, since the
// connection may be dead.
func (c *Client) Fetch(ctx context.Context, m Member, q Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(q.Wait+headerGrace, cancel)
	defer limit.Stop()
	u := url.URL{Scheme: "http", Host: m.Address, Path: Path, RawQuery: q.Query().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Response{}, fmt.Errorf("build feed request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("poll %s: %w", m.ID, err)
	}
	defer resp.Body.Close()
	limit.Reset(bodyTimeout)
	if resp.StatusCode != http.StatusOK {
		return Response{}, fmt.Errorf("poll %s: %w", m.ID, result.Read(resp, result.Internal))
	}
	body := io.LimitReader(resp.Body, maxBody)
	if q.Epoch == "" {
		// The response lists all servers, and the member may send it to many others at once: it
		// may take long as long as it goes on.
		body = &engine.ActivityReader{Reader: body, OnRead: func() { limit.Reset(bodyTimeout) }}
	}
	var a Response
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return Response{}, fmt.Errorf("decode feed response of %s: %w", m.ID, err)
	}
	return a, a.Check()
}

// Next returns the request to send after a response, so that nothing is sent twice.
func (q Request) Next(a *Response) Request {
	if a.MovesSeq != 0 || a.Epoch != q.Epoch {
		q.Moves = a.MovesSeq
	}
	if a.CrashesSeq != 0 || a.Epoch != q.Epoch {
		q.Crashes = a.CrashesSeq
	}
	q.Epoch, q.Seq, q.Members = a.Epoch, a.Seq, a.MembersDigest
	if a.Config != nil {
		q.Config = max(q.Config, a.Config.Version)
	}
	return q
}
