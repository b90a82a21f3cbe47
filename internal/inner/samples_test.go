package inner

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// maxSampleDepth is how deeply messages are nested in a sample.
const maxSampleDepth = 3

// TestWriteSamples writes a sample of each message, in its encoded form and as JSON, to the directory that INNER_SAMPLES names. It is run once
// with the code of each landing.
func TestWriteSamples(t *testing.T) {
	dir := os.Getenv("INNER_SAMPLES")
	if dir == "" {
		t.Skip("INNER_SAMPLES names no directory")
	}
	is := is.New(t)
	is.NoErr(os.MkdirAll(dir, 0o755))
	messages := File_inner_proto.Messages()
	for i := range messages.Len() {
		m, err := protoregistry.GlobalTypes.FindMessageByName(messages.Get(i).FullName())
		is.NoErr(err)
		sample := m.New()
		next := 0
		fillSample(sample, &next, 0)
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(sample.Interface())
		is.NoErr(err)
		text, err := protojson.Marshal(sample.Interface())
		is.NoErr(err)
		name := filepath.Join(dir, string(messages.Get(i).Name()))
		is.NoErr(os.WriteFile(name+".pb", encoded, 0o644))
		is.NoErr(os.WriteFile(name+".json", append(text, '\n'), 0o644))
	}
}

// fillSample sets all fields of a message to values that differ; the last member of a oneof wins.
func fillSample(m protoreflect.Message, next *int, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Message() != nil && depth >= maxSampleDepth {
			continue
		}
		if f.IsList() {
			list := m.Mutable(f).List()
			for range 2 {
				if f.Message() != nil {
					fillSample(list.AppendMutable().Message(), next, depth+1)
				} else {
					list.Append(sampleValue(f, next))
				}
			}
			continue
		}
		if f.Message() != nil {
			fillSample(m.Mutable(f).Message(), next, depth+1)
			continue
		}
		m.Set(f, sampleValue(f, next))
	}
}

// sampleValue returns the next value of a field that is no message.
func sampleValue(f protoreflect.FieldDescriptor, next *int) protoreflect.Value {
	*next++
	n := *next
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(strings.Repeat("s", n%7+1))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(n), 0, 255})
	case protoreflect.EnumKind:
		values := f.Enum().Values()
		return protoreflect.ValueOfEnum(values.Get(n % values.Len()).Number())
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) + 0.5)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(n) + 0.5)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	default:
		return protoreflect.ValueOfInt64(int64(n))
	}
}

// TestMessagesOfFormerLandings decodes the samples of all messages of former landings: each field must mean what it meant.
func TestMessagesOfFormerLandings(t *testing.T) {
	files, err := filepath.Glob("testdata/*/*.pb")
	if err != nil || len(files) == 0 {
		t.Fatalf("no samples: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(strings.TrimPrefix(file, "testdata/"), ".pb"), func(t *testing.T) {
			is := is.New(t)
			name := strings.TrimSuffix(filepath.Base(file), ".pb")
			m, err := protoregistry.GlobalTypes.FindMessageByName(File_inner_proto.Package().Append(protoreflect.Name(name)))
			is.NoErr(err) // a message of a former landing is gone
			encoded, err := os.ReadFile(file)
			is.NoErr(err)
			text, err := os.ReadFile(strings.TrimSuffix(file, ".pb") + ".json")
			is.NoErr(err)
			decoded := m.New().Interface()
			is.NoErr(proto.Unmarshal(encoded, decoded))
			is.Equal(len(decoded.ProtoReflect().GetUnknown()), 0) // a field of a former landing is gone
			today, err := protojson.Marshal(decoded)
			is.NoErr(err)
			var got, want any
			is.NoErr(json.Unmarshal(today, &got))
			is.NoErr(json.Unmarshal(text, &want))
			is.Equal(got, want)
		})
	}
}
