// Package mutate makes damaged copies of texts, the same ones every time, as inputs of fuzz targets.
package mutate

import "math/rand/v2"

// pieces are put in where a text is damaged.
var insertions = []string{"", "\x00", "\n", "-", "0", "9223372036854775808", "{", "\"", "[x]\n", "=", ".", "~", "é", "\xff"}

// Variants gives count copies of the text, each with one to four changes: pieces put
// in, spans taken out, doubled or swapped, letters changed in case, bits flipped.
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

// flip changes bits of one byte; 0x20 changes the case of a letter.
func flipBits(data []byte, bits byte, random *rand.Rand) []byte {
	if len(data) > 0 {
		data[random.IntN(len(data))] ^= bits
	}
	return data
}
