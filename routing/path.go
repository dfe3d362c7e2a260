package routing

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
)

// PathOf returns the path of a request as its caller has sent it, byte for byte. It is what is forwarded.
func PathOf(r *http.Request) string {
	if p, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(p, "/") {
		return p
	}
	return r.URL.EscapedPath() // of a target with scheme and host, or of a request made here
}

// CanonicalPath returns the form of a path by which it is compared with others (RFC 3986, 6.2.2): characters that need no
// encoding are decoded, and hexadecimal digits are in upper case. An encoded slash remains one, as it is part of a name.
func CanonicalPath(p string) string {
	if !strings.Contains(p, "%") {
		return p
	}
	var b strings.Builder
	for i := 0; i < len(p); i++ {
		if p[i] != '%' || i+2 >= len(p) {
			b.WriteByte(p[i])
			continue
		}
		c, err := url.PathUnescape(p[i : i+3])
		switch {
		case err != nil:
			b.WriteByte(p[i])
			continue
		case isUnreserved(c[0]):
			b.WriteString(c)
		default:
			b.WriteString(strings.ToUpper(p[i : i+3]))
		}
		i += 2
	}
	return b.String()
}

// isUnreserved reports whether a character means the same encoded and not (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// maxDecodings bounds how often a path is decoded that remains encoded.
const maxDecodings = 4

// Readings returns what servers may take a path for: first its canonical form, then those in which encoded characters are
// decoded, backslashes are slashes, parameters of segments are left out, repeated slashes are one, and dot segments are
// resolved, each alone and together.
func Readings(p string) []string {
	all := []string{CanonicalPath(p)}
	add := func(change func(string) string) {
		for _, x := range all {
			if y := change(x); !slices.Contains(all, y) {
				all = append(all, y)
			}
		}
	}
	if !strings.ContainsAny(all[0], `%;\`) && !strings.Contains(all[0], "//") && !strings.Contains(all[0], "/.") {
		return all
	}
	add(decodeAll)
	add(func(x string) string { return strings.ReplaceAll(x, `\`, "/") })
	add(withoutParameters)
	add(mergeSlashes)
	add(resolveDots)
	return all
}

// decodeAll decodes a path until nothing is encoded.
func decodeAll(p string) string {
	for range maxDecodings {
		x, err := url.PathUnescape(p)
		if err != nil || x == p {
			break
		}
		p = x
	}
	return p
}

// withoutParameters leaves out what follows a semicolon in each segment.
func withoutParameters(p string) string {
	segments := strings.Split(p, "/")
	for i, s := range segments {
		segments[i], _, _ = strings.Cut(s, ";")
	}
	return strings.Join(segments, "/")
}

func mergeSlashes(p string) string {
	for strings.Contains(p, "//") {
		p = strings.ReplaceAll(p, "//", "/")
	}
	return p
}

// resolveDots resolves dot segments, and merges slashes.
func resolveDots(p string) string {
	if !strings.Contains(p, "/.") {
		return p
	}
	x := path.Clean("/" + p)
	if x != "/" && (strings.HasSuffix(p, "/") || strings.HasSuffix(p, "/.") || strings.HasSuffix(p, "/..")) {
		x += "/"
	}
	return x
}

// Select returns the route of a request by the path as it was sent. Servers may read an unusual path in another way; where another route is
// selected by one of these readings, what both permit holds: whether the request may run more than once, and without a key.
func (t *Table) Select(host, p string) (*Route, bool) {
	readings := Readings(p)
	r, ok := t.Route(host, readings[0])
	if !ok || len(readings) == 1 {
		return r, ok
	}
	strict := *r
	for _, x := range readings[1:] {
		other, ok := t.Route(host, x)
		if !ok {
			continue
		}
		strict.Public = strict.Public && other.Public
		if strict.Repeatable() && !other.Repeatable() {
			strict.forbidRepeats()
		}
	}
	return &strict, true
}

// forbidRepeats makes requests of the route run once at most.
func (r *Route) forbidRepeats() {
	r.Resumable = false
	if r.Kind == Idempotent {
		r.Kind = NonIdempotent
	}
}
