package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Reader knows the lines of a source's fields. It compares a tree of JSON with a Go type and finds every fault:
// unknown and doubled fields and values of the wrong type.
type Reader struct {
	source []byte
	// lineStarts are the offsets of the lines.
	lineStarts []int
	lines      map[string]int
	faults     []Fault
}

func newReader(source []byte) *Reader {
	r := &Reader{source: source, lineStarts: []int{0}, lines: make(map[string]int)}
	for i, c := range source {
		if c == '\n' {
			r.lineStarts = append(r.lineStarts, i+1)
		}
	}
	return r
}

func (r *Reader) walk(tree *hujson.Value, target any) {
	r.value(tree, reflect.TypeOf(target).Elem(), "")
}

func (r *Reader) line(offset int) int {
	after, found := slices.BinarySearch(r.lineStarts, offset)
	if found {
		return after + 1
	}
	return after
}

// LineOf returns the line of a field, or of the nearest one around it.
func (r *Reader) LineOf(path string) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func (r *Reader) fault(offset int, path, format string, args ...any) {
	if path == "" {
		path = "file"
	}
	r.faults = append(r.faults, Fault{Line: r.line(offset), Field: path, Allowed: fmt.Sprintf(format, args...)})
}

var (
	unmarshaler     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// readsItself tells whether a type decodes its own text.
func readsItself(t reflect.Type) bool {
	pointer := reflect.PointerTo(t)
	return pointer.Implements(unmarshaler) || pointer.Implements(textUnmarshaler)
}

func (r *Reader) value(v *hujson.Value, t reflect.Type, path string) {
	r.lines[path] = r.line(v.StartOffset)
	if string(bytes.TrimSpace(v.Pack())) == "null" {
		r.fault(v.StartOffset, path, "null is not allowed; leave the field out")
		return
	}
	kind := t.Kind()
	if readsItself(t) {
		kind = reflect.Invalid
	}
	switch kind {
	case reflect.Struct:
		r.object(v, t, path)
	case reflect.Map:
		r.object(v, t, path)
	case reflect.Slice:
		r.array(v, t, path)
	default:
		r.leaf(v, t, path)
	}
}

func (r *Reader) object(v *hujson.Value, t reflect.Type, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(v.StartOffset, path, "an object is needed")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		inner := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			r.fault(member.Name.StartOffset, inner, "stands twice")
			continue
		}
		seen[name] = true
		if t.Kind() == reflect.Map {
			r.value(&member.Value, t.Elem(), inner)
			continue
		}
		field, ok := fieldOf(t, name)
		if !ok {
			r.fault(member.Name.StartOffset, inner, "no such field; allowed are %s", strings.Join(fieldNames(t), ", "))
			continue
		}
		r.value(&member.Value, field, inner)
	}
}

func (r *Reader) array(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.fault(v.StartOffset, path, "a list is needed")
		return
	}
	for i := range array.Elements {
		r.value(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (r *Reader) leaf(v *hujson.Value, t reflect.Type, path string) {
	plain := v.Clone()
	plain.Standardize()
	err := json.Unmarshal(plain.Pack(), reflect.New(t).Interface())
	if err == nil {
		return
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		r.fault(v.StartOffset, path, "%s is needed, not a %s", kindName(t), wrongType.Value)
		return
	}
	r.fault(v.StartOffset, path, "%s", strings.TrimPrefix(err.Error(), "json: "))
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return fmt.Sprintf("a whole number that fits %s", t.Kind())
	}
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, jsonName(t.Field(i)))
	}
	return names
}
