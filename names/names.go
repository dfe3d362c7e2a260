// Package names keeps the three naming schemes for places, services and
// organisations. Every thing has one name in each scheme; any of the three is
// accepted wherever a name is read, and the code name identifies the thing
// inside the system.
package names

import (
	"strings"

	"quetzalhold/result"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Scheme,Kind -linecomment -output=names_string.go

// Scheme is one of the three naming schemes.
type Scheme int

// The naming schemes.
const (
	ByCode   Scheme = iota // code
	ByTitle                // title
	ByLegacy               // legacy
)

// ParseScheme returns the scheme called s.
func ParseScheme(s string) (Scheme, error) {
	for _, sc := range []Scheme{ByCode, ByTitle, ByLegacy} {
		if sc.String() == s {
			return sc, nil
		}
	}
	return 0, result.New(result.UnknownName, "%q is no naming scheme; want code, title or legacy", s)
}

// Kind is a kind of named thing.
type Kind int

// The kinds of named things.
const (
	Domain       Kind = iota // failure domain
	Region                   // region
	Service                  // service
	Organisation             // organisation
)

// ID is a thing's code name, by which the system identifies it.
type ID string

// Set is a thing's names, one in each scheme.
type Set struct {
	Code   ID     `json:"code"`
	Title  string `json:"title"`
	Legacy string `json:"legacy"`
}

// In returns the name in scheme s.
func (n Set) In(s Scheme) string {
	switch s {
	case ByTitle:
		return n.Title
	case ByLegacy:
		return n.Legacy
	default:
		return string(n.Code)
	}
}

// Check returns every fault of the names, each at its field below path.
func (n Set) Check(path string) []*result.Error {
	var faults []*result.Error
	for _, s := range []Scheme{ByCode, ByTitle, ByLegacy} {
		v := n.In(s)
		field := path + "." + s.String()
		switch {
		case v == "":
			faults = append(faults, result.New(result.MissingField, "a name in each scheme is needed").On(field))
		case strings.TrimSpace(v) != v || strings.ContainsAny(v, "\n\t/"):
			faults = append(faults, result.New(result.OutOfRange, "%q has spaces around it, a line break, a tab or a slash", v).On(field))
		}
	}
	return faults
}

// key finds a name among the things of one kind.
type key struct {
	kind Kind
	name string
}

// Registry resolves names in any scheme. The zero value is empty and ready to
// use; it is not safe for use while Add runs.
type Registry struct {
	byName map[key]ID
	sets   map[key]Set
}

// Add registers a thing. It fails with NameClash, and changes nothing, when
// one of the names already stands for another thing of the kind in any scheme.
func (r *Registry) Add(k Kind, n Set) error {
	if r.byName == nil {
		r.byName = make(map[key]ID)
		r.sets = make(map[key]Set)
	}
	all := []string{string(n.Code), n.Title, n.Legacy}
	if _, ok := r.sets[key{k, string(n.Code)}]; ok {
		return result.New(result.Duplicate, "%s %q is listed twice", k, n.Code)
	}
	for _, name := range all {
		if id, ok := r.byName[key{k, name}]; ok {
			return result.New(result.NameClash, "%q names both %s %q and %q", name, k, id, n.Code)
		}
	}
	for _, name := range all {
		r.byName[key{k, name}] = n.Code
	}
	r.sets[key{k, string(n.Code)}] = n
	return nil
}

// Resolve returns the id of the thing called name in any scheme. It fails with
// UnknownName.
func (r *Registry) Resolve(k Kind, name string) (ID, error) {
	id, ok := r.byName[key{k, name}]
	if !ok {
		return "", result.New(result.UnknownName, "no %s is called %q in any scheme", k, name)
	}
	return id, nil
}

// Name returns the thing's name in scheme s, or the id itself where the thing
// is not registered.
func (r *Registry) Name(k Kind, id ID, s Scheme) string {
	n, ok := r.sets[key{k, string(id)}]
	if !ok {
		return string(id)
	}
	return n.In(s)
}

// Names returns all three names of the thing; only the code name is set where
// the thing is not registered.
func (r *Registry) Names(k Kind, id ID) Set {
	n, ok := r.sets[key{k, string(id)}]
	if !ok {
		return Set{Code: id}
	}
	return n
}
