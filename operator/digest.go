package operator

import (
	"github.com/cespare/xxhash/v2"

	"quetzalhold/objects"
)

// Digest is a hash of the names and versions of a set of objects.
type Digest uint64

// digestBuckets is the number of buckets into which objects are hashed, so that
// two entry VMs only exchange versions of buckets whose digests differ.
const digestBuckets = 64

// Digests is the digest of each bucket of a configuration.
type Digests [digestBuckets]Digest

// ObjectID names an object of the configuration.
type ObjectID struct {
	Kind objects.Kind `json:"kind"`
	Name objects.Name `json:"name"`
}

func (k objectKey) hash() uint64 { return xxhash.Sum64String(string(k.kind) + "\x00" + string(k.name)) }

func (k objectKey) bucket() int { return int(k.hash() % digestBuckets) }

// digest returns the digest of an object at a version. A bucket's digest is the
// sum over its objects: it changes with each of them and can be updated without
// the others.
func (k objectKey) digest(v objects.Version) Digest {
	// Odd multipliers make equal sums of different versions unlikely.
	const goldenRatio = 0x9E3779B97F4A7C15
	return Digest((k.hash() | 1) * (uint64(v)*goldenRatio | 1))
}

// Digest returns one digest of all objects.
func (s *Store) Digest() Digest {
	var sum Digest
	for i, d := range s.Digests() {
		sum = sum*31 + d + Digest(i)
	}
	return sum
}

// Digests returns the digest of each bucket.
func (s *Store) Digests() Digests {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digests
}

// Versions returns the versions of all objects in the buckets whose digest
// differs from theirs.
func (s *Store) Versions(theirs Digests) []ObjectVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []ObjectVersion{}
	for _, o := range s.sorted() {
		b := (objectKey{o.Kind, o.Name}).bucket()
		if s.digests[b] != theirs[b] {
			found = append(found, ObjectVersion{Kind: o.Kind, Name: o.Name, Version: o.Version})
		}
	}
	return found
}

// Diff lists the objects whose versions at another entry VM differ from the
// local ones.
type Diff struct {
	RemoteNewer []ObjectID // newer at the other entry VM
	RemoteOlder []ObjectID // older at the other entry VM
}

// Compare compares the store with versions received from another entry VM.
func (s *Store) Compare(theirs []ObjectVersion) Diff {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d Diff
	for _, v := range theirs {
		id := ObjectID{v.Kind, v.Name}
		local := s.objects[objectKey{v.Kind, v.Name}].Version
		switch {
		case v.Version > local:
			d.RemoteNewer = append(d.RemoteNewer, id)
		case v.Version < local:
			d.RemoteOlder = append(d.RemoteOlder, id)
		}
	}
	return d
}

// Select returns the objects with the given IDs, without those that the store
// doesn't have.
func (s *Store) Select(ids []ObjectID) []objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []objects.Object
	for _, id := range ids {
		if o, ok := s.objects[objectKey{id.Kind, id.Name}]; ok {
			found = append(found, o)
		}
	}
	return found
}
