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

// Defaults of the optional settings.
const (
	// DefaultOperatorAddress is on the loopback interface only, because the
	// endpoints expose state without authentication.
	DefaultOperatorAddress   rtid.Address = "127.0.0.1:0"
	DefaultLogLevel                       = "info"
	DefaultDrainTimeout                   = Duration(10 * time.Minute)
	DefaultMaxTimeLimit                   = Duration(10 * time.Minute)
	DefaultHeartbeatInterval              = Duration(time.Second)
	DefaultColdSlots                      = 1
)

// ReadEntry reads and validates the settings of an entry. The settings may be
// used only if Err of the findings returns nil.
func ReadEntry(path string) (Entry, rtfinding.List) {
	entry := Entry{Common: defaultCommon(), MaxTimeLimit: DefaultMaxTimeLimit}
	f := readFile(path)
	if f.decode(&entry) {
		f.checkEntry(&entry)
	}
	return entry, f.findings
}

// ReadAgent reads and validates the settings of an agent. The settings may be
// used only if Err of the findings returns nil.
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

// settingsFile is a settings file during parsing and validation.
type settingsFile struct {
	path      string
	text      string
	values    map[string]toml.Primitive
	meta      toml.MetaData
	lines     map[string]int  // line of each top-level key
	undecoded map[string]bool // keys whose values could not be decoded
	findings  rtfinding.List
}

// readFile reads and parses a file. The values are nil if that failed.
func readFile(path string) *settingsFile {
	f := &settingsFile{path: path, undecoded: make(map[string]bool)}
	data, err := os.ReadFile(path)
	if err != nil {
		f.findings.Add(rtfinding.Location{File: path}, "cannot be read: %v", withoutPath(err))
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

func (f *settingsFile) addParseError(err error) {
	location := rtfinding.Location{File: f.path}
	text := err.Error()
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		location.Line, location.Field = parseError.Position.Line, parseError.LastKey
		text = parseError.Message
	}
	f.findings.Add(location, "not valid TOML: %s", text)
}

func (f *settingsFile) addFinding(key, format string, args ...any) {
	f.findings.Add(rtfinding.Location{File: f.path, Line: f.lines[topLevelKey(key)], Field: key}, format, args...)
}

// topLevelKey returns the key without a list index.
func topLevelKey(key string) string {
	top, _, _ := strings.Cut(key, "[")
	return top
}

// hasKey reports whether the file sets the key.
func (f *settingsFile) hasKey(key string) bool {
	_, given := f.values[key]
	return given
}

// decode decodes the values into the fields of settings, a pointer to a struct,
// one by one: decoding the whole struct at once would stop at the first value of
// a wrong type. It returns false if the file could not be parsed.
func (f *settingsFile) decode(settings any) bool {
	if f.values == nil {
		return false
	}
	fields := make(map[string]reflect.Value)
	collectFields(reflect.ValueOf(settings).Elem(), fields)
	for _, key := range f.meta.Keys() {
		if len(key) > 1 {
			continue // inside a table, for which the key of the table is reported
		}
		field, known := fields[key[0]]
		if !known {
			f.addFinding(key[0], "unknown key")
			continue
		}
		f.decodeField(key[0], field)
	}
	return true
}

// collectFields adds the fields of a struct to fields by key. The keys of
// embedded structs are top-level keys as well.
func collectFields(structure reflect.Value, fields map[string]reflect.Value) {
	for i := range structure.NumField() {
		if structure.Type().Field(i).Anonymous {
			collectFields(structure.Field(i), fields)
			continue
		}
		fields[structure.Type().Field(i).Tag.Get("toml")] = structure.Field(i)
	}
}

func (f *settingsFile) decodeField(key string, field reflect.Value) {
	err := f.meta.PrimitiveDecode(f.values[key], field.Addr().Interface())
	if err == nil {
		return
	}
	f.undecoded[key] = true
	f.addFinding(key, "is %s, want %s", describeType(f.meta.Type(key)), describeExpected(field))
}

// withoutPath returns the error without the file path, which the location of
// the finding contains already.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// describeType returns the text for a type name of the TOML library.
func describeType(tomlType string) string {
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

func describeExpected(field reflect.Value) string {
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
