package operator

import (
	"encoding/json"
	"fmt"

	"quetzalhold/objects"
	"quetzalhold/result"
	"quetzalhold/settings"
)

// File is a configuration file: a list of objects to apply in order.
type File struct {
	Objects []FileObject `json:"objects"`
}

// FileObject is one object of a configuration file. If Expect is set, the write
// succeeds only if it is the object's current version. If not, the client reads
// the current version first and replaces that.
type FileObject struct {
	Kind   objects.Kind     `json:"kind"`
	Name   objects.Name     `json:"name"`
	Expect *objects.Version `json:"expect,omitempty"`
	Value  json.RawMessage  `json:"value"`
}

// IsFile reports whether raw looks like a configuration file rather than
// settings.
func IsFile(raw []byte) bool {
	var probe struct {
		Objects json.RawMessage `json:"objects"`
	}
	return json.Unmarshal(raw, &probe) == nil && probe.Objects != nil
}

// ParseFile decodes a configuration file and checks each object and the
// references between them. It returns all faults joined.
func ParseFile(raw []byte) (*File, error) {
	var f File
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, result.Wrap(result.SettingsUnreadable, err, "decode")
	}
	var faults []*result.Error
	var objs []objects.Object
	seen := make(map[objectKey]bool)
	for i, o := range f.Objects {
		k := objectKey{o.Kind, o.Name}
		if seen[k] {
			faults = append(faults, result.New(result.Duplicate, "%s %s is listed twice", o.Kind, o.Name).WithField(fmt.Sprintf("objects[%d]", i)))
			continue
		}
		seen[k] = true
		if _, err := parseKind(string(o.Kind)); err != nil {
			faults = append(faults, result.FromError(err).WithField(fmt.Sprintf("objects[%d].kind", i)))
			continue
		}
		objs = append(objs, objects.Object{Kind: o.Kind, Name: o.Name, Version: 1, Value: o.Value})
	}
	_, buildFaults := Build(objs)
	if faults = append(faults, buildFaults...); len(faults) > 0 {
		return nil, settings.Join(faults)
	}
	return &f, nil
}
