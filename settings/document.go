package settings

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"reflect"
	"strings"
)

//go:generate sh -c "go run auburngap settings document > ../docs/SETTINGS.md"

// source is the Go file with the comments of the fields.
//
//go:embed settings.go
var source string

// Document writes the page of all settings from the struct: each field with its
// comment and default.
func Document(out io.Writer) error {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", source, parser.ParseComments)
	if err != nil {
		return err
	}
	d := &documenter{out: out, comments: fieldComments(file)}
	d.printf("# Settings of a node\n\nGenerated from the struct `settings.Node`. JSON with comments; unknown fields are faults.\n" +
		"`auburngap settings check FILE` prints every fault.\n")
	d.printTable("Node", "The file", reflect.TypeFor[Node](), reflect.ValueOf(Default()))
	d.printTable("Operator", "`operators[]`", reflect.TypeFor[Operator](), reflect.Value{})
	d.printTable("TLS", "`peerTls` and `callerTls`", reflect.TypeFor[TLS](), reflect.Value{})
	return d.err
}

// fieldComments returns the comment of each field, keyed by STRUCT.FIELD.
func fieldComments(file *ast.File) map[string]string {
	commentOf := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, f := range structure.Fields.List {
				commentOf[spec.Name.Name+"."+f.Names[0].Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
			}
		}
		return true
	})
	return commentOf
}

// documenter writes tables. It stops at the first error and keeps it.
type documenter struct {
	out      io.Writer
	comments map[string]string
	err      error
}

func (d *documenter) printf(format string, values ...any) {
	if d.err == nil {
		_, d.err = fmt.Fprintf(d.out, format, values...)
	}
}

func (d *documenter) printTable(name, title string, structure reflect.Type, defaults reflect.Value) {
	d.printf("\n## %s\n\n| field | meaning | default |\n| --- | --- | --- |\n", title)
	for i := range structure.NumField() {
		f := structure.Field(i)
		d.printf("| `%s` | %s | %s |\n", f.Tag.Get("json"), d.comments[name+"."+f.Name], defaultText(defaults, i))
	}
}

func defaultText(defaults reflect.Value, i int) string {
	if !defaults.IsValid() || defaults.Field(i).IsZero() || defaults.Field(i).Kind() == reflect.Struct {
		return ""
	}
	text, err := json.Marshal(defaults.Field(i).Interface())
	if err != nil {
		return ""
	}
	return "`" + string(text) + "`"
}
