package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"slices"
	"time"

	"github.com/go-viper/mapstructure/v2"

	"quetzalhold/result"
)

// DecodeStrict decodes JSON into a struct by its json tags and returns every
// fault at once: unknown fields, wrong types and bad syntax, each with the path
// of its field.
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
	var meta mapstructure.Metadata
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     into,
		Metadata:   &meta,
		TagName:    "json",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(numberHook, mapstructure.StringToTimeHookFunc(time.RFC3339Nano)),
	})
	if err != nil {
		return []*result.Error{result.Wrap(result.Internal, err, "decoder")}
	}
	faults := typeFaults(d.Decode(tree))
	slices.Sort(meta.Unused)
	for _, f := range meta.Unused {
		faults = append(faults, result.New(result.UnknownField, "there is no such field").On(f))
	}
	return faults
}

// numberHook keeps a JSON number from passing for a string.
func numberHook(from, to reflect.Type, data any) (any, error) {
	if from == reflect.TypeFor[json.Number]() && to.Kind() == reflect.String {
		return nil, errors.New("expected a string, got a number")
	}
	return data, nil
}

// typeFaults splits a decoder's joined error into one fault for each field.
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
	return []*result.Error{fault}
}
