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

// Reader holds the lines of a source's fields. It compares a JSON tree with a Go type
// and finds every fault: unknown and duplicate fields, null and values of the wrong
// type.
type Reader struct {
	source []byte
	// lineStarts holds the offset of the start of each line.
	lineStarts []int
	lineByPath map[string]int
	faults     []Fault
}

func newReader(source []byte) *Reader {
	r := &Reader{source: source, lineStarts: []int{0}, lineByPath: make(map[string]int)}
	for i, c := range source {
		if c == '\n' {
			r.lineStarts = append(r.lineStarts, i+1)
		}
	}
	return r
}

func (r *Reader) walk(tree *hujson.Value, target any) {
	r.checkValue(tree, reflect.TypeOf(target).Elem(), "")
}

func (r *Reader) lineAt(offset int) int {
	after, found := slices.BinarySearch(r.lineStarts, offset)
	if found {
		return after + 1
	}
	return after
}

// LineOf returns the line of a field, or of the innermost known field around it.
func (r *Reader) LineOf(path string) int {
	for path != "" {
		if line, ok := r.lineByPath[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func (r *Reader) addFault(offset int, path, format string, args ...any) {
	if path == "" {
		path = "file"
	}
	r.faults = append(r.faults, Fault{Line: r.lineAt(offset), Field: path, Allowed: fmt.Sprintf(format, args...)})
}

var (
	unmarshaler     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// hasUnmarshaler reports whether a type decodes itself from JSON or text.
func hasUnmarshaler(t reflect.Type) bool {
	pointer := reflect.PointerTo(t)
	return pointer.Implements(unmarshaler) || pointer.Implements(textUnmarshaler)
}

func (r *Reader) checkValue(v *hujson.Value, t reflect.Type, path string) {
	r.lineByPath[path] = r.lineAt(v.StartOffset)
	if string(bytes.TrimSpace(v.Pack())) == "null" {
		r.addFault(v.StartOffset, path, "null is not allowed; leave the field out")
		return
	}
	kind := t.Kind()
	if hasUnmarshaler(t) {
		kind = reflect.Invalid
	}
	switch kind {
	case reflect.Struct:
		r.checkObject(v, t, path)
	case reflect.Map:
		r.checkObject(v, t, path)
	case reflect.Slice:
		r.checkArray(v, t, path)
	default:
		r.checkScalar(v, t, path)
	}
}

func (r *Reader) checkObject(v *hujson.Value, t reflect.Type, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addFault(v.StartOffset, path, "an object is needed")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		inner := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			r.addFault(member.Name.StartOffset, inner, "stands twice")
			continue
		}
		seen[name] = true
		if t.Kind() == reflect.Map {
			r.checkValue(&member.Value, t.Elem(), inner)
			continue
		}
		field, ok := fieldType(t, name)
		if !ok {
			r.addFault(member.Name.StartOffset, inner, "no such field; allowed are %s", strings.Join(fieldNames(t), ", "))
			continue
		}
		r.checkValue(&member.Value, field, inner)
	}
}

func (r *Reader) checkArray(v *hujson.Value, t reflect.Type, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.addFault(v.StartOffset, path, "a list is needed")
		return
	}
	for i := range array.Elements {
		r.checkValue(&array.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (r *Reader) checkScalar(v *hujson.Value, t reflect.Type, path string) {
	plain := v.Clone()
	plain.Standardize()
	err := json.Unmarshal(plain.Pack(), reflect.New(t).Interface())
	if err == nil {
		return
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		r.addFault(v.StartOffset, path, "%s is needed, not a %s", kindName(t), wrongType.Value)
		return
	}
	r.addFault(v.StartOffset, path, "%s", strings.TrimPrefix(err.Error(), "json: "))
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

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if field := t.Field(i); isRead(field) && jsonName(field) == name {
			return field.Type, true
		}
	}
	return nil, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if field := t.Field(i); isRead(field) {
			names = append(names, jsonName(field))
		}
	}
	return names
}

// isRead reports whether a document may have the field: encoding/json leaves out one that
// is named "-".
func isRead(field reflect.StructField) bool { return field.Tag.Get("json") != "-" }
