package operator

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"quetzalhold/objects"
	"quetzalhold/result"
)

// Store holds the newest known version of each configuration object and the
// configuration built from them. The zero value is empty and ready to use.
type Store struct {
	mu      sync.Mutex
	objects map[objectKey]objects.Object
	digests Digests
	cache   decodeCache
	current atomic.Pointer[Configuration]
}

type objectKey struct {
	kind objects.Kind
	name objects.Name
}

// Current returns the configuration in force, which is empty until the first
// Apply.
func (s *Store) Current() *Configuration {
	if c := s.current.Load(); c != nil {
		return c
	}
	return &Configuration{}
}

// Empty reports whether no object has been applied yet.
func (s *Store) Empty() bool { return s.current.Load() == nil }

// Apply stores those of objs that are newer than the store's, rebuilds the
// configuration if there are any, and returns them with the faults of all objects
// that cannot be part of it. An object is never replaced by an earlier version.
func (s *Store) Apply(objs []objects.Object) (newer []objects.Object, faults []*result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[objectKey]objects.Object)
	}
	for _, o := range objs {
		if !isKind(o.Kind) {
			continue
		}
		k := objectKey{o.Kind, o.Name}
		if old, ok := s.objects[k]; ok && old.Version >= o.Version {
			continue
		}
		if old := s.objects[k]; old.Version > 0 {
			s.digests[k.bucket()] -= k.digest(old.Version)
		}
		s.digests[k.bucket()] += k.digest(o.Version)
		s.objects[k] = o
		newer = append(newer, o)
	}
	if len(newer) == 0 {
		return nil, nil
	}
	if s.cache == nil {
		s.cache = make(decodeCache)
	}
	c, faults := build(s.sorted(), s.cache)
	s.current.Store(c)
	return newer, faults
}

func (s *Store) sorted() []objects.Object {
	all := make([]objects.Object, 0, len(s.objects))
	for _, o := range s.objects {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b objects.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// All returns all objects, including deleted ones, ordered by kind and name.
func (s *Store) All() []objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted()
}

// Get returns an object and whether the store has it. It may be a deleted one.
func (s *Store) Get(k objects.Kind, n objects.Name) (objects.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{k, n}]
	return o, ok
}

// Validate returns the faults that writing o would add to the configuration,
// without changing the store.
func (s *Store) Validate(o objects.Object) []*result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.sorted()
	_, before := Build(all)
	rest := slices.DeleteFunc(all, func(x objects.Object) bool { return x.Kind == o.Kind && x.Name == o.Name })
	_, after := Build(append(rest, o))
	return newFaults(before, after)
}

// newFaults returns the faults in after that are not in before.
func newFaults(before, after []*result.Error) []*result.Error {
	var added []*result.Error
	for _, f := range after {
		inBefore := slices.ContainsFunc(before, func(b *result.Error) bool { return b.Error() == f.Error() })
		if !inBefore {
			added = append(added, f)
		}
	}
	return added
}
