package codec_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/codec"
)

type record struct {
	Name  string
	Items []struct {
		Key  string
		Data []byte
	}
	Ages  map[string]float64
	Count int64
}

// TestCheckLengths guards against a few malformed bytes that make a process allocate all
// of its memory.
func TestCheckLengths(t *testing.T) {
	cases := []struct {
		name string
		b    []byte
		ok   bool
	}{
		{"empty", nil, true},
		{"array of three", []byte{0x93, 1, 2, 3}, true},
		{"array longer than the data", []byte{0xdd, 0xa6, 0x52, 0x65, 0x6d, 0xc0}, false},
		{"map longer than the data", []byte{0xdf, 0, 0, 1, 0, 0xc0}, false},
		{"string longer than the data", []byte{0xda, 0x10, 0, 'a'}, false},
		{"length cut off", []byte{0xdc, 1}, false},
		{"nested array longer than the data", []byte{0x92, 1, 0xdc, 0xff, 0xff}, false},
		{"extension", []byte{0xd6, 1, 0, 0, 0, 0}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := codec.Check(c.b)
			var e *codec.LengthError
			if (err == nil) != c.ok || err != nil && !errors.As(err, &e) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// TestCheckDepth guards against a record that takes a process down: it is nested a million
// deep, so that decoding it takes more memory than the process has.
func TestCheckDepth(t *testing.T) {
	const much = 1 << 20
	cases := []struct {
		name string
		b    []byte
		ok   bool
	}{
		{"arrays in arrays", append(bytes.Repeat([]byte{0x91}, much), 1), false},
		{"maps in maps", append(bytes.Repeat([]byte{0x81, 0xa1, 'x'}, much), 1), false},
		{"deep in the second element", append(append([]byte{0x92, 1}, bytes.Repeat([]byte{0x91}, much)...), 1), false},
		{"unknown field of a record", append(append([]byte{0x81, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, much)...), 1), false},
		{"a few levels", append(bytes.Repeat([]byte{0x91}, 20), 1), true},
		{"many arrays side by side", append([]byte{0xdc, 0xff, 0xff}, bytes.Repeat([]byte{0x91, 1}, 0xffff)...), true},
		{"many empty arrays", append([]byte{0xdc, 0xff, 0xff}, bytes.Repeat([]byte{0x90}, 0xffff)...), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var v record
			err := codec.Check(c.b)
			var e *codec.DepthError
			if (err == nil) != c.ok || err != nil && !errors.As(err, &e) {
				t.Errorf("check: %v", err)
			}
			if err := codec.Unmarshal(c.b, &v); !c.ok && !errors.As(err, &e) {
				t.Errorf("unmarshal: %v", err)
			}
		})
	}
}

// TestCount guards against values that are not counted, whose memory nothing bounds then.
func TestCount(t *testing.T) {
	b, err := msgpack.Marshal(map[string]any{"a": []int{1, 2, 3}, "b": nil})
	if err != nil {
		t.Fatal(err)
	}
	const want = 8
	if n, err := codec.Count(b); n != want || err != nil {
		t.Errorf("%d values, want %d; error %v", n, want, err)
	}
}

// FuzzUnmarshal checks that whatever the library writes passes the check, and that no
// input makes decoding fail other than with an error.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte("abc"), 3.5, int64(-70000))
	f.Add([]byte{0x93, 1, 2, 3}, 0.0, int64(1<<40))
	f.Add([]byte{0xdd, 0xa6, 0x52, 0x65, 0x6d, 0xc0}, -1.0, int64(255))
	f.Fuzz(func(t *testing.T, b []byte, x float64, n int64) {
		var v record
		_ = codec.Unmarshal(b, &v)
		w := record{Name: string(b), Ages: map[string]float64{string(b): x}, Count: n}
		w.Items = append(w.Items, struct {
			Key  string
			Data []byte
		}{string(b), b})
		e, err := msgpack.Marshal(&w)
		if err != nil {
			t.Fatal(err)
		}
		if err := codec.Unmarshal(e, &v); err != nil {
			t.Errorf("record that was written is refused: %v", err)
		}
	})
}
