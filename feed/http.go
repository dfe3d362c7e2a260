package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzalhold/backend"
	"quetzalhold/engine"
	"quetzalhold/names"
	"quetzalhold/result"
)

// Path is where entry VMs ask each other for news.
const Path = "/feed"

// Query returns the question as the query of a URL.
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
	if q.Members > 0 {
		v.Set("members", strconv.FormatUint(q.Members, 10))
	}
	if q.Moves > 0 {
		v.Set("moves", strconv.FormatInt(q.Moves, 10))
	}
	if len(q.Counts) > 0 {
		// Numbers and texts always encode.
		b, _ := json.Marshal(q.Counts)
		v.Set("ran", string(b))
	}
	for _, u := range q.Usage {
		v.Add("usage", fmt.Sprintf("%s %d %d", u.Service, u.Requests, u.Retries))
	}
	for _, h := range q.Hung {
		v.Add("hung", fmt.Sprintf("%s %d", h.ID, h.Start))
	}
	return v
}

// readUsage decodes the usage of one service.
func readUsage(s string) (backend.Usage, error) {
	var u backend.Usage
	if _, err := fmt.Sscanf(s, "%s %d %d", &u.Service, &u.Requests, &u.Retries); err != nil {
		return u, result.Wrap(result.BadRequest, err, "usage").On("usage")
	}
	if u.Requests < 0 || u.Retries < 0 {
		return u, result.New(result.OutOfRange, "%q", s).On("usage")
	}
	return u, nil
}

// maxWait bounds the wait that an asker may ask for.
const maxWait = 5 * time.Second

// ParseRequest decodes a question from the query of a URL.
func ParseRequest(v url.Values) (Request, error) {
	q := Request{
		From: Member{ID: MemberID(v.Get("id")), Address: v.Get("address"), Domain: names.ID(v.Get("domain"))},
		Epoch: Epoch(v.Get("epoch")),
		Starting: v.Get("begun") == "true",
	}
	var link int64
	for _, f := range []struct {
		name string
		into *int64
	}{{"seq", &q.Seq}, {"config", (*int64)(&q.Config)}, {"waitMs", (*int64)(&q.Wait)}, {"link", &link}} {
		n, err := strconv.ParseInt(v.Get(f.name), 10, 64)
		if err != nil {
			return q, result.Wrap(result.BadRequest, err, "%s", f.name).On(f.name)
		}
		*f.into = n
	}
	q.From.LinkMbps = int(link)
	if s := v.Get("members"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return q, result.Wrap(result.BadRequest, err, "members").On("members")
		}
		q.Members = n
	}
	if s := v.Get("moves"); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return q, result.Wrap(result.BadRequest, err, "moves").On("moves")
		}
		q.Moves = n
	}
	if s := v.Get("ran"); s != "" {
		if err := json.Unmarshal([]byte(s), &q.Counts); err != nil {
			return q, result.Wrap(result.BadRequest, err, "ran").On("ran")
		}
	}
	for _, s := range v["usage"] {
		u, err := readUsage(s)
		if err != nil {
			return q, err
		}
		q.Usage = append(q.Usage, u)
	}
	for _, s := range v["hung"] {
		var h HungServer
		if _, err := fmt.Sscanf(s, "%s %d", &h.ID, &h.Start); err != nil {
			return q, result.Wrap(result.BadRequest, err, "hung").On("hung")
		}
		q.Hung = append(q.Hung, h)
	}
	q.Wait = min(maxWait, max(0, q.Wait*time.Millisecond))
	return q, nil
}

// Server answers the other entry VMs. All fields must be set.
type Server struct {
	Members *Members
	Log     *Log
	// OnHung is told of the servers that an asker found to hang.
	OnHung func([]HungServer)
	// OnCounts is told what an asker has seen of services in moves.
	OnCounts func([]ServiceCounts)
	// Respond returns the news for a question.
	Respond func(Request) Response
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
	s.Members.SetUsage(time.Now(), q.From.ID, q.Usage)
	if len(q.Hung) > 0 {
		s.OnHung(q.Hung)
	}
	if len(q.Counts) > 0 {
		s.OnCounts(q.Counts)
	}
	if news := s.Log.Changed(q); news != nil && q.Wait > 0 {
		t := time.NewTimer(q.Wait)
		select {
		case <-news:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
	}
	a := s.Respond(q)
	a.Self = s.Members.Self
	if a.MembersDigest = s.Members.Digest(); a.MembersDigest != q.Members {
		a.Members = s.Members.List()
	}
	w.Header().Set("Content-Type", "application/json")
	// The connection may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(&a)
}

// Client asks other entry VMs. Use [NewClient].
type Client struct{ http *http.Client }

// The limits of a client.
const (
	// dialLimit bounds opening a connection; other regions are 60 ms away.
	dialLimit = 400 * time.Millisecond
	// grace is how much longer than asked an answer may take to begin, and bodyLimit
	// how long it may take from there on: all of 3,000 servers are 750 KB, for links
	// of 10 Mbit/s.
	grace     = 400 * time.Millisecond
	bodyLimit = 1500 * time.Millisecond
	maxBody   = 32 << 20
)

// NewClient returns a client that dials with d; a nil d dials as package net does.
func NewClient(d engine.Dialer) *Client {
	if d == nil {
		d = (&net.Dialer{Timeout: dialLimit}).DialContext
	}
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: engine.LimitDial(d), MaxIdleConnsPerHost: 1}}}
}

// CloseIdle closes the connections that no question uses.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Fetch asks a member. The connection is closed after a failure: it may have gone
// silent.
func (c *Client) Fetch(ctx context.Context, m Member, q Request) (Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(q.Wait+grace, cancel)
	defer limit.Stop()
	u := url.URL{Scheme: "http", Host: m.Address, Path: Path, RawQuery: q.Query().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Response{}, fmt.Errorf("build question: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("ask %s: %w", m.ID, err)
	}
	defer resp.Body.Close()
	limit.Reset(bodyLimit)
	if resp.StatusCode != http.StatusOK {
		return Response{}, fmt.Errorf("ask %s: %w", m.ID, result.Read(resp, result.Internal))
	}
	var a Response
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&a); err != nil {
		return Response{}, fmt.Errorf("decode answer of %s: %w", m.ID, err)
	}
	return a, a.Check()
}

// Next returns the question after an answer: what came is not asked for again.
func (q Request) Next(a *Response) Request {
	if a.MovesSeq != 0 || a.Epoch != q.Epoch {
		q.Moves = a.MovesSeq
	}
	q.Epoch, q.Seq, q.Members = a.Epoch, a.Seq, a.MembersDigest
	if a.Config != nil {
		q.Config = max(q.Config, a.Config.Version)
	}
	return q
}
