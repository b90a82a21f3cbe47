// Package document decodes INI files into structs. It is strict: unknown, repeated, missing and invalid sections and keys
// are errors that name the file, the line, the section, the key and what is allowed.
package document

import (
	"bufio"
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Document is one parsed INI file.
type Document struct {
	file  string
	lines []string
	ini   *ini.File
}

// Parse parses INI text; file is the name used in errors, which are ErrSyntax or ErrField.
func Parse(file string, content []byte) (*Document, error) {
	options := ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		KeyValueDelimiters:         "=",
		SpaceBeforeInlineComment:   true,
		IgnoreContinuation:         true,
		ChildSectionDelimiter:      "\x00",
	}
	parsed, err := ini.LoadSources(options, content)
	if err != nil {
		return nil, ErrSyntax.New("%s: %v; write Key = Value lines under [Section] headers", file, err)
	}
	d := &Document{file: file, ini: parsed}
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for scanner.Scan() {
		d.lines = append(d.lines, strings.TrimSpace(scanner.Text()))
	}
	return d, d.checkRepeats()
}

// Sections returns the names of all sections, in file order.
func (d *Document) Sections() []string {
	var names []string
	for _, s := range d.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		names = append(names, s.Name())
	}
	return names
}

// Decode fills target, a pointer to a struct, from a section; keys are the struct's field names.
// A field tagged `required:"true"` must be present and a field tagged `allowed:"a|b"` must hold one of those values.
// A missing section leaves the defaults in target as they are.
func (d *Document) Decode(section string, target any) error {
	value := reflect.ValueOf(target).Elem()
	if err := d.checkKeys(section, value.Type()); err != nil {
		return err
	}
	s, _ := d.ini.GetSection(section)
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Tag.Get("ini") == "-" {
			continue
		}
		if s == nil || !s.HasKey(field.Name) {
			if field.Tag.Get("required") == "true" {
				return d.FieldError(section, field.Name, "is missing; add it")
			}
			continue
		}
		if err := d.setField(section, field, value.Field(i), strings.TrimSpace(s.Key(field.Name).Value())); err != nil {
			return err
		}
	}
	return nil
}

// FieldError returns an ErrField that names the file, line, section and key; key is empty for an error about the section.
// The problem follows them in the message and says what is wrong and what is allowed.
func (d *Document) FieldError(section, key, problem string) error {
	location := fmt.Sprintf("%s:%d: section [%s]", d.file, d.Line(section, key), section)
	if key != "" {
		location += " key " + key
	}
	return ErrField.New("%s %s", location, problem)
}

// Line returns the line number of a key, or of the section's header if the key is absent, or 1 if the section is absent
// too.
func (d *Document) Line(section, key string) int {
	current, header := ini.DefaultSection, 1
	for i, line := range d.lines {
		if strings.HasPrefix(line, "[") && strings.Contains(line, "]") {
			current = strings.TrimSpace(line[1:strings.Index(line, "]")])
			if current == section {
				header = i + 1
			}
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if found && current == section && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return header
}

func (d *Document) checkRepeats() error {
	for _, s := range d.ini.Sections() {
		for _, k := range s.Keys() {
			if len(k.ValueWithShadows()) > 1 {
				return d.FieldError(s.Name(), k.Name(), "is given more than once; keep one of them")
			}
		}
	}
	seen := map[string]bool{}
	for _, line := range d.lines {
		if !strings.HasPrefix(line, "[") || !strings.Contains(line, "]") {
			continue
		}
		name := strings.TrimSpace(line[1:strings.Index(line, "]")])
		if seen[name] {
			return d.FieldError(name, "", "is given more than once; merge the two sections")
		}
		seen[name] = true
	}
	return nil
}

func (d *Document) checkKeys(section string, t reflect.Type) error {
	s, err := d.ini.GetSection(section)
	if err != nil {
		return nil
	}
	var allowed []string
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("ini") != "-" {
			allowed = append(allowed, t.Field(i).Name)
		}
	}
	for _, k := range s.Keys() {
		if !slices.Contains(allowed, k.Name()) {
			return d.FieldError(section, k.Name(), "is unknown; allowed keys: "+strings.Join(allowed, ", "))
		}
	}
	return nil
}

func (d *Document) setField(section string, field reflect.StructField, value reflect.Value, text string) error {
	if allowed := field.Tag.Get("allowed"); allowed != "" && !slices.Contains(strings.Split(allowed, "|"), text) {
		return d.FieldError(section, field.Name, fmt.Sprintf("has value %q; allowed: %s", text, strings.ReplaceAll(allowed, "|", ", ")))
	}
	remedy := parseInto(value, text)
	if remedy == "" {
		return nil
	}
	return d.FieldError(section, field.Name, fmt.Sprintf("has value %q; %s", text, remedy))
}

// parseInto parses text by the type of value and stores the result there. If the text is invalid, it returns a hint for
// the error message, such as "write true or false", and otherwise the empty string.
func parseInto(value reflect.Value, text string) string {
	switch value.Interface().(type) {
	case string:
		value.SetString(text)
	case bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return "write true or false"
		}
		value.SetBool(b)
	case time.Duration:
		t, err := time.ParseDuration(text)
		if err != nil || t < 0 {
			return "write a duration of zero or more such as 250ms, 2s or 1m"
		}
		value.SetInt(int64(t))
	case int:
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return "write a whole number of zero or more"
		}
		value.SetInt(int64(n))
	case float64:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !(f >= 0 && f <= 1e12) {
			return "write a number of zero or more"
		}
		value.SetFloat(f)
	case *float64:
		number := new(float64)
		if remedy := parseInto(reflect.ValueOf(number).Elem(), text); remedy != "" {
			return remedy
		}
		value.Set(reflect.ValueOf(number))
	case []string:
		value.Set(reflect.ValueOf(splitList(text)))
	case []int:
		return parseInts(value, text)
	default:
		return "this build cannot read a key of type " + value.Type().String()
	}
	return ""
}

func parseInts(value reflect.Value, text string) string {
	var values []int
	for _, part := range splitList(text) {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return "write whole numbers separated by commas"
		}
		values = append(values, n)
	}
	value.Set(reflect.ValueOf(values))
	return ""
}

func splitList(text string) []string {
	var items []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			items = append(items, part)
		}
	}
	return items
}
