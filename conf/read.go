package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Duration is a time.Duration that is encoded as a string such as "2.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Or returns d, or e if d is zero.
func (d Duration) Or(e time.Duration) time.Duration {
	if d == 0 {
		return e
	}
	return time.Duration(d)
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler, with time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"2.5s\"", b)
	}
	*d = Duration(v)
	return nil
}

// Decode decodes JSON with comments into v. It adds each unknown field and each
// value of a wrong type to f, with its path. It reports false when b is not JSON;
// otherwise v holds the values without faults, and can be checked further.
func Decode(object string, b []byte, v any, f *Faults) bool {
	s, err := hujson.Standardize(append([]byte(nil), b...))
	if err != nil {
		f.Add(object, "", "not JSON with comments: %v", err)
		return false
	}
	n := len(f.list)
	checkValue(object, "", s, reflect.TypeOf(v), f)
	d := json.NewDecoder(bytes.NewReader(s))
	if err := d.Decode(v); err != nil && len(f.list) == n {
		f.Add(object, faultyField(err), "%v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		f.Add(object, "", "unexpected text after the end of the document")
	}
	f.decodeFaults = len(f.list)
	return true
}

func faultyField(err error) string {
	var e *json.UnmarshalTypeError
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}

// checkValue compares raw JSON with the type that it will be decoded into.
// encoding/json stops at the first bad field; checkValue reports all of them.
func checkValue(object, path string, raw json.RawMessage, t reflect.Type, f *Faults) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
		checkScalar(object, path, raw, t, f)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		checkStruct(object, path, raw, t, f)
	case reflect.Slice:
		var l []json.RawMessage
		if err := json.Unmarshal(raw, &l); err != nil {
			f.Add(object, path, "must be a list")
			return
		}
		for i, r := range l {
			checkValue(object, fmt.Sprintf("%s[%d]", path, i), r, t.Elem(), f)
		}
	default:
		checkScalar(object, path, raw, t, f)
	}
}

var textUnmarshalerType = reflect.TypeFor[interface{ UnmarshalText([]byte) error }]()

func checkScalar(object, path string, raw json.RawMessage, t reflect.Type, f *Faults) {
	v := reflect.New(t).Interface()
	if err := json.Unmarshal(raw, v); err != nil {
		f.Add(object, path, "bad value %s: %v", raw, err)
	}
}

func checkStruct(object, path string, raw json.RawMessage, t reflect.Type, f *Faults) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		f.Add(object, path, "must be an object with named fields")
		return
	}
	k := jsonFields(t)
	for _, n := range sortedKeys(m) {
		p := strings.TrimPrefix(path+"."+n, ".")
		y, ok := k[n]
		if !ok {
			f.Add(object, p, "unknown field")
			continue
		}
		checkValue(object, p, m[n], y, f)
	}
}

// jsonFields returns the type of each field of a struct by its JSON name,
// including the fields of embedded structs.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	m := map[string]reflect.Type{}
	for i := range t.NumField() {
		v := t.Field(i)
		if v.Anonymous {
			for n, y := range jsonFields(v.Type) {
				m[n] = y
			}
			continue
		}
		n, _, _ := strings.Cut(v.Tag.Get("json"), ",")
		if n != "" && n != "-" {
			m[n] = v.Type
		}
	}
	return m
}
