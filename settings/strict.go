package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"

	"quetzalhold/result"
)

// DecodeStrict decodes JSON into a struct according to its json tags. It returns
// all faults: a syntax error alone, or else wrong types and unknown fields, each
// with the path of the field.
func DecodeStrict(raw []byte, into any) []*result.Error {
	var tree any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return []*result.Error{result.Wrap(result.SettingsUnreadable, err, "decode")}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return []*result.Error{result.New(result.SettingsUnreadable, "text after the end of the object")}
	}
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     into,
		TagName:    "json",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(numberHook, mapstructure.StringToTimeHookFunc(time.RFC3339Nano)),
	})
	if err != nil {
		return []*result.Error{result.Wrap(result.Internal, err, "decoder")}
	}
	faults := typeFaults(d.Decode(tree))
	return append(faults, unknownFields("", tree, reflect.TypeOf(into))...)
}

// unknownFields returns a fault for each key in tree, the decoded JSON at path,
// for which type t has no field.
func unknownFields(path string, tree any, t reflect.Type) []*result.Error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var faults []*result.Error
	switch node := tree.(type) {
	case []any:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i, item := range node {
			faults = append(faults, unknownFields(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())...)
		}
	case map[string]any:
		if t.Kind() != reflect.Struct {
			return nil
		}
		for _, key := range slices.Sorted(maps.Keys(node)) {
			field := strings.TrimPrefix(path+"."+key, ".")
			ft, ok := fieldType(t, key)
			if !ok {
				faults = append(faults, result.New(result.UnknownField, "there is no such field").WithField(field))
				continue
			}
			faults = append(faults, unknownFields(field, node[key], ft)...)
		}
	}
	return faults
}

// fieldType returns the type of the struct field whose json tag is key.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == key {
			return f.Type, true
		}
	}
	return nil, false
}

// numberHook rejects a JSON number for a string field: json.Number is a string
// type, so mapstructure would accept it.
func numberHook(from, to reflect.Type, data any) (any, error) {
	if from == reflect.TypeFor[json.Number]() && to.Kind() == reflect.String {
		return nil, errors.New("expected a string, got a number")
	}
	return data, nil
}

// typeFaults converts a decoder's error, which may join several, into one fault
// per field.
func typeFaults(err error) []*result.Error {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		var faults []*result.Error
		for _, e := range joined.Unwrap() {
			faults = append(faults, typeFaults(e)...)
		}
		return faults
	}
	fault := result.New(result.WrongType, "%s", err)
	var de *mapstructure.DecodeError
	if errors.As(err, &de) {
		fault.Detail = de.Unwrap().Error()
		fault.Field = de.Name()
	}
	var ue *mapstructure.UnconvertibleTypeError
	if errors.As(err, &ue) {
		fault.Detail = fmt.Sprintf("want %s, got %s", kindName(ue.Expected.Kind()), kindName(reflect.TypeOf(ue.Value).Kind()))
	}
	var pe *mapstructure.ParseError
	if errors.As(err, &pe) {
		fault.Detail = fmt.Sprintf("want %s, got %v", kindName(pe.Expected.Kind()), pe.Value)
	}
	return []*result.Error{fault}
}

// kindName returns the description of a Go kind for authors of JSON files.
func kindName(k reflect.Kind) string {
	switch {
	case k == reflect.String:
		return "text"
	case k == reflect.Bool:
		return "true or false"
	case k == reflect.Struct, k == reflect.Map:
		return "an object"
	case k == reflect.Slice, k == reflect.Array:
		return "a list"
	case k >= reflect.Int && k <= reflect.Uint64:
		return "a whole number"
	}
	return "a number"
}
