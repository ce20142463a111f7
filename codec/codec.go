// Package codec decodes msgpack that other processes have written, without trusting it.
//
// The msgpack library allocates room for as many elements as a collection claims to have,
// so that a few malformed bytes can exhaust the memory of a process. This package checks
// first that every claimed length fits into the data, and that collections are not nested
// deeper than any message or record needs: the library decodes them recursively.
//
// # Usage
//
//	var v T
//	err := codec.Unmarshal(b, &v) // *codec.LengthError if a length is impossible,
//	                              // *codec.DepthError if the data is nested too deeply
package codec

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxElements is the largest number of elements of a collection: far more than any message
// or record has, and few enough to allocate.
const maxElements = 1 << 17

// maxDepth is how deeply collections may be nested: several times as deep as in any message or
// record.
const maxDepth = 32

// LengthError reports a length at an offset, in bytes, that the data cannot hold.
type LengthError struct {
	Offset int
	Length int
}

func (e *LengthError) Error() string {
	return fmt.Sprintf("msgpack: length %d at offset %d exceeds the data or the limit", e.Length, e.Offset)
}

// DepthError reports a collection at an offset, in bytes, that is nested too deeply.
type DepthError struct {
	Offset int
}

func (e *DepthError) Error() string {
	return fmt.Sprintf("msgpack: collection at offset %d is nested more than %d deep", e.Offset, maxDepth)
}

// Unmarshal is msgpack.Unmarshal after Check.
func Unmarshal(b []byte, v any) error {
	if err := Check(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

// Check returns *LengthError if a value in b claims to be longer than the data that follows
// it, and *DepthError if collections are nested too deeply. It does not check whether the data
// is complete.
func Check(b []byte) error {
	_, err := Count(b)
	return err
}

// Count checks b like Check, and returns the number of its values, with those in collections.
func Count(b []byte) (values int, err error) {
	var n nesting
	for i := 0; i < len(b); {
		h := headerOf(b[i:])
		if h.length < 0 || h.length > len(b)-i || h.elements > len(b)-i || h.elements > maxElements {
			return values, &LengthError{
				Offset: i,
				Length: max(h.length, h.elements),
			}
		}
		if !n.add(h.elements) {
			return values, &DepthError{
				Offset: i,
			}
		}
		i += h.length
		values++
	}
	return values, nil
}

// nesting holds how many elements of each collection around a value are still to come. The
// zero value is outside of all collections.
type nesting struct {
	left  [maxDepth]int
	depth int
}

// add adds a value that has elements itself if it is a collection, and reports whether that
// is not nested too deeply.
func (n *nesting) add(elements int) bool {
	if n.depth > 0 {
		n.left[n.depth-1]--
	}
	if elements > 0 {
		if n.depth == maxDepth {
			return false
		}
		n.left[n.depth] = elements
		n.depth++
	}
	for n.depth > 0 && n.left[n.depth-1] == 0 {
		n.depth--
	}
	return true
}

// header describes a value: the bytes that it takes, without the elements that follow
// it, and the number of those.
type header struct {
	length   int
	elements int
}

// Sizes of values by their code, and how many elements a map has for each key.
const (
	codeBytes  = 1
	extType    = 1
	mapEntry   = 2
	fixedMask  = 0x0f
	fixStrMask = 0x1f
)

// headerOf reads the code of the value at the beginning of b and its length.
func headerOf(b []byte) header {
	c := b[0]
	switch {
	case msgpcode.IsFixedMap(c):
		return header{
			length:   codeBytes,
			elements: mapEntry * int(c&fixedMask),
		}
	case msgpcode.IsFixedArray(c):
		return header{
			length:   codeBytes,
			elements: int(c & fixedMask),
		}
	case msgpcode.IsFixedString(c):
		return header{
			length: codeBytes + int(c&fixStrMask),
		}
	}
	if w, ok := lengthWidths[c]; ok {
		return lengthHeader(b, c, w)
	}
	return header{
		length: codeBytes + fixedSizes[c],
	}
}

// lengthWidths is how many bytes the length takes that follows a code.
var lengthWidths = map[byte]int{
	msgpcode.Str8: 1, msgpcode.Bin8: 1, msgpcode.Ext8: 1,
	msgpcode.Str16: 2, msgpcode.Bin16: 2, msgpcode.Ext16: 2, msgpcode.Array16: 2, msgpcode.Map16: 2,
	msgpcode.Str32: 4, msgpcode.Bin32: 4, msgpcode.Ext32: 4, msgpcode.Array32: 4, msgpcode.Map32: 4,
}

// fixedSizes is how many bytes follow a code without a length.
var fixedSizes = map[byte]int{
	msgpcode.Uint8: 1, msgpcode.Int8: 1,
	msgpcode.Uint16: 2, msgpcode.Int16: 2,
	msgpcode.Uint32: 4, msgpcode.Int32: 4, msgpcode.Float: 4,
	msgpcode.Uint64: 8, msgpcode.Int64: 8, msgpcode.Double: 8,
	msgpcode.FixExt1: extType + 1, msgpcode.FixExt2: extType + 2, msgpcode.FixExt4: extType + 4,
	msgpcode.FixExt8: extType + 8, msgpcode.FixExt16: extType + 16,
}

// lengthHeader reads the length of width bytes that follows code c. Its result has a
// negative length if the data ends before.
func lengthHeader(b []byte, c byte, width int) header {
	if len(b) < codeBytes+width {
		return header{
			length: -1,
		}
	}
	var n int
	switch v := b[codeBytes:]; width {
	case 1:
		n = int(v[0])
	case 2:
		n = int(binary.BigEndian.Uint16(v))
	default:
		n = int(binary.BigEndian.Uint32(v))
	}
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		return header{
			length:   codeBytes + width,
			elements: n,
		}
	case msgpcode.Map16, msgpcode.Map32:
		return header{
			length:   codeBytes + width,
			elements: mapEntry * n,
		}
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		n += extType
	}
	return header{
		length: codeBytes + width + n,
	}
}
