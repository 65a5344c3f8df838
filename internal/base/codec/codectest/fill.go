package codectest

import (
	"math"
	"math/rand/v2"
	"reflect"
	"time"
)

const (
	// maxDepth bounds the nesting of generated values, maxLength the length of their text, lists and maps.
	maxDepth  = 8
	maxLength = 4
)

// floats are numbers that are hard to encode.
var floats = []float64{0, math.Copysign(0, -1), math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, math.SmallestNonzeroFloat64, 1.5}

// fill sets v to a random value. Interfaces and fields that aren't exported keep their zero value.
func fill(r *rand.Rand, v reflect.Value, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(r.Int64N(math.MaxUint32), r.Int64N(int64(time.Second))).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(r.IntN(2) == 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(r.Uint64()) >> r.IntN(64))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(r.Uint64() >> r.IntN(64))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(floats[r.IntN(len(floats))])
	case reflect.String:
		v.SetString(string(randomBytes(r)))
	case reflect.Pointer:
		if r.IntN(2) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(r, v.Elem(), depth+1)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fill(r, v.Field(i), depth+1)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(r, v.Index(i), depth+1)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), r.IntN(maxLength), maxLength))
		for i := range v.Len() {
			fill(r, v.Index(i), depth+1)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range r.IntN(maxLength) {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(r, key, depth+1)
			fill(r, value, depth+1)
			v.SetMapIndex(key, value)
		}
	}
}

func randomBytes(r *rand.Rand) []byte {
	b := make([]byte, r.IntN(maxLength))
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}
