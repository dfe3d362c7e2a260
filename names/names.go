// Package names implements the three naming schemes for failure domains,
// regions, services and organisations. Each of these has one name in each
// scheme. Wherever a name is read, any of the three is accepted; inside the
// system, the code name serves as the identifier.
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

// Kind is the kind of a named object.
type Kind int

// The kinds of named objects.
const (
	Domain       Kind = iota // failure domain
	Region                   // region
	Service                  // service
	Organisation             // organisation
)

// ID is an object's code name, by which the system identifies it.
type ID string

// Set holds the names of an object, one in each scheme.
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

// Check returns an error for each invalid name. The field of each error is
// path followed by the name of the scheme.
func (n Set) Check(path string) []*result.Error {
	var faults []*result.Error
	for _, s := range []Scheme{ByCode, ByTitle, ByLegacy} {
		v := n.In(s)
		field := path + "." + s.String()
		switch {
		case v == "":
			faults = append(faults, result.New(result.MissingField, "a name in each scheme is needed").WithField(field))
		case strings.TrimSpace(v) != v || strings.ContainsAny(v, "\n\t/"):
			faults = append(faults, result.New(result.OutOfRange, "%q has spaces around it, a line break, a tab or a slash", v).WithField(field))
		}
	}
	return faults
}

// key is a name of an object of some kind.
type key struct {
	kind Kind
	name string
}

// Registry resolves names in any scheme. The zero value is empty and ready to
// use. Add must not run concurrently with other methods.
type Registry struct {
	byName map[key]ID
	sets   map[key]Set
}

// Add registers an object of kind k under its names. It changes nothing and
// fails with Duplicate if its code name is registered already, and with
// NameClash if one of its names, in any scheme, belongs to another object of
// that kind.
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

// Resolve returns the id of the object of kind k that has the given name in
// any scheme. It fails with UnknownName if there is none.
func (r *Registry) Resolve(k Kind, name string) (ID, error) {
	id, ok := r.byName[key{k, name}]
	if !ok {
		return "", result.New(result.UnknownName, "no %s is called %q in any scheme", k, name)
	}
	return id, nil
}

// Name returns the object's name in scheme s, or the id itself if the object
// is not registered.
func (r *Registry) Name(k Kind, id ID, s Scheme) string {
	n, ok := r.sets[key{k, string(id)}]
	if !ok {
		return string(id)
	}
	return n.In(s)
}

// Names returns all three names of the object. If it is not registered, only
// the code name is set.
func (r *Registry) Names(k Kind, id ID) Set {
	n, ok := r.sets[key{k, string(id)}]
	if !ok {
		return Set{Code: id}
	}
	return n
}
