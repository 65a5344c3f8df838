package codectest

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/node/rpc"
)

// RoundTrip checks that random values of T, also with text that isn't UTF-8 and the largest numbers, are decoded to
// what was encoded.
func RoundTrip[T any](t *testing.T) {
	t.Helper()
	p := gopter.NewProperties(nil)
	p.Property(reflect.TypeFor[T]().String()+" is decoded to what was encoded", prop.ForAll(func(seed uint64) (bool, error) {
		var v T
		fill(rand.New(rand.NewPCG(seed, 0)), reflect.ValueOf(&v).Elem(), 0)
		b, err := codec.Marshal(v)
		if err != nil {
			return false, err
		}
		decoded, err := codec.Unmarshal[T](b)
		if err != nil {
			return false, err
		}
		again, err := codec.Marshal(decoded)
		return bytes.Equal(b, again), err
	}, gen.UInt64()))
	p.TestingRun(t)
}

// Method is RoundTrip for the request and the result of an RPC method.
func Method[Q, R any](t *testing.T, _ rpc.Method[Q, R]) {
	t.Helper()
	RoundTrip[Q](t)
	RoundTrip[R](t)
}

// Notice is RoundTrip for a notice.
func Notice[Q any](t *testing.T, _ rpc.Notice[Q]) {
	t.Helper()
	RoundTrip[Q](t)
}
