package rtsettings

import (
	"errors"
	"io/fs"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// The defaults of settings that a file may leave out.
const (
	DefaultOperatorAddress   rtid.Address = "127.0.0.1:0" // loopback, because the endpoints show state without asking who reads it
	DefaultLogLevel                       = "info"
	DefaultDrainTimeout                   = Duration(10 * time.Minute)
	DefaultMaxTimeLimit                   = Duration(10 * time.Minute)
	DefaultHeartbeatInterval              = Duration(time.Second)
	DefaultColdSlots                      = 1
)

// ReadEntry returns the settings of an entry with all findings. The settings
// may only be used if the findings have no error.
func ReadEntry(path string) (Entry, rtfinding.List) {
	entry := Entry{Common: defaultCommon(), MaxTimeLimit: DefaultMaxTimeLimit}
	f := readFile(path)
	if f.decode(&entry) {
		f.checkEntry(&entry)
	}
	return entry, f.findings
}

// ReadAgent returns the settings of an agent with all findings. The settings
// may only be used if the findings have no error.
func ReadAgent(path string) (Agent, rtfinding.List) {
	agent := Agent{Common: defaultCommon(), ColdSlots: DefaultColdSlots}
	f := readFile(path)
	if f.decode(&agent) {
		f.checkAgent(&agent)
	}
	return agent, f.findings
}

func defaultCommon() Common {
	return Common{OperatorAddress: DefaultOperatorAddress, LogLevel: DefaultLogLevel, DrainTimeout: DefaultDrainTimeout, HeartbeatInterval: DefaultHeartbeatInterval}
}

// file is a settings file that is being read.
type file struct {
	path     string
	text     string
	values   map[string]toml.Primitive
	meta     toml.MetaData
	lines    map[string]int  // line of each key at the top
	faulty   map[string]bool // keys that could not be decoded
	findings rtfinding.List
}

// readFile parses a file. Its values are nil if that failed.
func readFile(path string) *file {
	f := &file{path: path, faulty: make(map[string]bool)}
	data, err := os.ReadFile(path)
	if err != nil {
		f.findings.Add(rtfinding.Location{File: path}, "cannot be read: %v", cause(err))
		return f
	}
	f.text = string(data)
	f.lines = keyLines(f.text)
	var values map[string]toml.Primitive
	f.meta, err = toml.Decode(f.text, &values)
	if err != nil {
		f.addParseError(err)
		return f
	}
	f.values = values
	return f
}

func (f *file) addParseError(err error) {
	place := rtfinding.Location{File: f.path}
	text := err.Error()
	var parse toml.ParseError
	if errors.As(err, &parse) {
		place.Line, place.Field = parse.Position.Line, parse.LastKey
		text = parse.Message
	}
	f.findings.Add(place, "not valid TOML: %s", text)
}

func (f *file) add(key, format string, args ...any) {
	f.findings.Add(rtfinding.Location{File: f.path, Line: f.lines[topKey(key)], Field: key}, format, args...)
}

// topKey returns the key without the index of an item.
func topKey(key string) string {
	top, _, _ := strings.Cut(key, "[")
	return top
}

// given reports whether the file has the key.
func (f *file) given(key string) bool {
	_, given := f.values[key]
	return given
}

// decode fills the fields of target, a pointer to a struct, one by one:
// decoding the whole struct would stop at the first wrong type. It reports
// whether the file could be parsed.
func (f *file) decode(target any) bool {
	if f.values == nil {
		return false
	}
	fields := make(map[string]reflect.Value)
	collectFields(reflect.ValueOf(target).Elem(), fields)
	for _, key := range f.meta.Keys() {
		if len(key) > 1 {
			continue // inside a table, whose own key is reported
		}
		field, known := fields[key[0]]
		if !known {
			f.add(key[0], "unknown key")
			continue
		}
		f.decodeField(key[0], field)
	}
	return true
}

// collectFields maps keys to the fields of a struct. Embedded structs have
// their keys at the top of the file.
func collectFields(structure reflect.Value, fields map[string]reflect.Value) {
	for i := range structure.NumField() {
		if structure.Type().Field(i).Anonymous {
			collectFields(structure.Field(i), fields)
			continue
		}
		fields[structure.Type().Field(i).Tag.Get("toml")] = structure.Field(i)
	}
}

func (f *file) decodeField(key string, field reflect.Value) {
	err := f.meta.PrimitiveDecode(f.values[key], field.Addr().Interface())
	if err == nil {
		return
	}
	f.faulty[key] = true
	f.add(key, "is %s, want %s", describe(f.meta.Type(key)), wanted(field))
}

// cause returns the error without the path, which the place names already.
func cause(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// describe returns the text for a type's name as the TOML library gives it.
func describe(tomlType string) string {
	switch tomlType {
	case "String":
		return "a string"
	case "Integer":
		return "an integer"
	case "Float":
		return "a float"
	case "Bool":
		return "a boolean"
	case "Datetime":
		return "a date"
	case "Array":
		return "a list"
	default:
		return "a table"
	}
}

func wanted(field reflect.Value) string {
	if _, ok := field.Interface().(Duration); ok {
		return `a duration in quotes such as "10m" or "1.5s"`
	}
	switch field.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list of strings only"
	case reflect.Bool:
		return "a boolean"
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}
