package identifier_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sycamorerun/node/identifier"
)

func hashOf(t testing.TB, key string) identifier.Hash {
	hash, err := identifier.ParseHash(identifier.Text(key))
	is.New(t).NoErr(err)
	return hash
}

// Guards against a hash in another form that is taken for the hash of a key.
func TestParseHash(t *testing.T) {
	text := identifier.Text("k1")
	for name, text := range map[string]string{
		"empty": "", "key": "k1", "no prefix": strings.TrimPrefix(text, "sha256:"), "other prefix": "sha512:" + text[7:],
		"short": text[:70], "long": text + "0", "not hexadecimal": text[:70] + "g",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := identifier.ParseHash(text)
			is.True(err != nil)
			is.True(text == "" || !strings.Contains(err.Error(), text)) // the text may be a key
		})
	}
}

// Guards against an index that loses or mixes up keys, and against a change that
// shows in an older index, which requests may still use. A few bytes of the hash
// vary, so that hashes share long prefixes.
func TestIndexAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index *identifier.Index
		want := map[identifier.Hash]*identifier.Account{}
		var old *identifier.Index
		oldLen := 0
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) identifier.Hash {
			var hash identifier.Hash
			hash[rapid.SampledFrom([]int{0, 1, 31}).Draw(t, "at")] = rapid.Byte().Draw(t, "value")
			return hash
		}), 1, 400).Draw(t, "hashes")
		for i, hash := range steps {
			if i == len(steps)/2 {
				old, oldLen = index, len(want)
			}
			if want[hash] != nil && rapid.Bool().Draw(t, "remove") {
				delete(want, hash)
				index = index.Without(hash)
			} else {
				want[hash] = &identifier.Account{Name: strconv.Itoa(i)}
				index = index.With(hash, want[hash])
			}
		}
		if index.Len() != len(want) || old.Len() != oldLen {
			t.Fatalf("%d keys and %d before, want %d and %d", index.Len(), old.Len(), len(want), oldLen)
		}
		for _, hash := range steps {
			if index.Find(hash) != want[hash] {
				t.Fatalf("account %v of %x, want %v", index.Find(hash), hash, want[hash])
			}
		}
	})
}

// FuzzReadKey guards against a field Authorization that panics, or of which
// something other than one key after the scheme counts.
func FuzzReadKey(f *testing.F) {
	for _, seed := range []string{"", "Bearer", "Bearer k1", "bearer  k1\t", "Bearer k1, Basic k2", "Bearer\x00k1", " Bearer k1"} {
		f.Add(seed)
	}
	want := hashOf(f, "k1")
	f.Fuzz(func(t *testing.T, value string) {
		is := is.New(t)
		key := identifier.ReadKey(http.Header{"Authorization": {value}}, "Bearer")
		words := strings.FieldsFunc(value, func(r rune) bool { return r == ' ' || r == '\t' })
		isKey := len(words) == 2 && strings.EqualFold(words[0], "Bearer") && words[1] == "k1"
		if key != nil && *key == want {
			is.True(isKey)
		}
		is.Equal(identifier.ReadKey(http.Header{"Authorization": {value, value}}, "Bearer"), nil)
	})
}

// sizes are the numbers of keys that the benchmarks compare.
var sizes = []int{100, 10_000, 1_000_000}

// fill returns an index with random hashes, and the hashes.
func fill(size int) (*identifier.Index, []identifier.Hash) {
	random := rand.New(rand.NewPCG(1, 2))
	var index *identifier.Index
	account := &identifier.Account{Name: "a"}
	hashes := make([]identifier.Hash, size)
	for i := range hashes {
		for at := 0; at < len(hashes[i]); at += 8 {
			binary.LittleEndian.PutUint64(hashes[i][at:], random.Uint64())
		}
		index = index.With(hashes[i], account)
	}
	return index, hashes
}

// Measures a look-up and the memory of one key.
func BenchmarkFind(b *testing.B) {
	for _, size := range sizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			index, hashes := fill(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytesPerKey := float64(after.HeapAlloc-before.HeapAlloc)/float64(size) - float64(len(identifier.Hash{}))
			i := 0
			for b.Loop() {
				i++
				if index.Find(hashes[i%size]) == nil {
					b.Fatal("key not found")
				}
			}
			b.ReportMetric(bytesPerKey, "bytes/key")
		})
	}
}

// Measures the replacement of one key by another.
func BenchmarkChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			index, hashes := fill(size)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				hash := hashes[i%size]
				account := index.Find(hash)
				index = index.Without(hash).With(hash, account)
			}
		})
	}
}
