package operator

import (
	"fmt"
	"testing"

	"quetzalhold/names"
	"quetzalhold/objects"
)

// fleetObjects returns the objects of a configuration with n organisations.
func fleetObjects(n int) []objects.Object {
	objs := []objects.Object{
		object(KindDeployment, "d", 1, Deployment{Name: "d", Version: "v@1"}),
		object(KindRoute, "r", 1, Route{Name: "r", Model: "m", Deployment: "d"}),
		object(KindPreset, "day", 1, day),
		object(KindInForce, InForceName, 1, InForce{Preset: "day"}),
	}
	for i := range n {
		id := names.ID(fmt.Sprintf("organisation-%d", i))
		objs = append(objs, object(KindOrganisation, objects.Name(id), 1, Organisation{
			Names: names.Set{Code: id, Title: fmt.Sprintf("Organisation %d", i), Legacy: fmt.Sprintf("CUST-%d", i)},
			Keys:  []KeyDigest{DigestKey(string(id))},
		}))
	}
	return objs
}

// BenchmarkStart applies a whole configuration to an empty store, as an entry VM
// does when it starts.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{10, 1000, 8500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			objs := fleetObjects(n)
			b.ReportAllocs()
			for b.Loop() {
				var s Store
				if _, faults := s.Apply(objs); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
		})
	}
}

// BenchmarkChange applies one changed object to a full store.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 1000, 8500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s Store
			s.Apply(fleetObjects(n))
			v := objects.Version(1)
			b.ReportAllocs()
			for b.Loop() {
				v++
				if _, faults := s.Apply([]objects.Object{object(KindPreset, "day", v, day)}); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
		})
	}
}
