// Package mutate generates corrupted copies of a text as seed inputs for fuzz targets.
// The same text and count always yield the same copies.
package mutate

import "math/rand/v2"

// insertions are the strings that a mutation may insert.
var insertions = []string{"", "\x00", "\n", "-", "0", "9223372036854775808", "{", "\"", "[x]\n", "=", ".", "~", "é", "\xff"}

// Variants returns count copies of text, each with one to four mutations: an
// insertion, a span deleted, duplicated or moved, a letter's case changed or a
// bit flipped.
func Variants(text string, count int) []string {
	random := rand.New(rand.NewPCG(uint64(len(text)), uint64(count)))
	variants := make([]string, count)
	for i := range variants {
		data := []byte(text)
		for range 1 + random.IntN(4) {
			data = mutate(data, random)
		}
		variants[i] = string(data)
	}
	return variants
}

func mutate(data []byte, random *rand.Rand) []byte {
	begin := random.IntN(len(data) + 1)
	end := begin + random.IntN(len(data)-begin+1)
	before, span, after := string(data[:begin]), data[begin:end], string(data[end:])
	switch random.IntN(6) {
	case 0:
		return []byte(before + insertions[random.IntN(len(insertions))] + string(span) + after)
	case 1:
		return []byte(before + after)
	case 2:
		return []byte(before + string(span) + string(span) + after)
	case 3:
		return []byte(after + string(span) + before)
	case 4:
		return flipBits(data, 0x20, random)
	default:
		return flipBits(data, 1<<random.IntN(8), random)
	}
}

// flipBits inverts the given bits of one random byte; 0x20 changes the case of a letter.
func flipBits(data []byte, bits byte, random *rand.Rand) []byte {
	if len(data) > 0 {
		data[random.IntN(len(data))] ^= bits
	}
	return data
}
