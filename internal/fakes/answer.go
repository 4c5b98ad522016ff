package fakes

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = strings.Fields(`Ana takes the north route on Monday then Rui visits
six households by the harbour while Marta calls back the two that were away and
keeps Friday free for revisits mesh twine gauge knot float lead line cost quote`)

// shortestAnswer is the least number of tokens in an answer that the caller
// does not limit further.
const shortestAnswer = 12

// seedOf starts the hidden state of a position from all the text before it.
func seedOf(prompt string, tokens []string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	for _, t := range tokens {
		_, _ = d.WriteString("\x00" + t)
	}
	return d.Sum64()
}

// foldLayer runs one layer. The function is not commutative, so a layer that
// is left out, doubled or out of order changes every later state.
func foldLayer(state uint64, layer int) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[0:], state)
	binary.LittleEndian.PutUint64(buf[8:], uint64(layer))
	return xxhash.Sum64(buf[:])
}

func foldSpan(state uint64, from, to int) uint64 {
	for l := from; l < to; l++ {
		state = foldLayer(state, l)
	}
	return state
}

func wordOf(state uint64) string {
	return vocabulary[state%uint64(len(vocabulary))] + " "
}

// lengthOf is the number of tokens in the answer to a prompt.
func lengthOf(prompt string, maxTokens int) int {
	n := shortestAnswer + int(xxhash.Sum64String(prompt)%17)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// Answer is the oracle: the one right answer to a prompt, whatever servers its
// layers ran on.
func Answer(prompt string, layers, maxTokens int) []string {
	var tokens []string
	for range lengthOf(prompt, maxTokens) {
		tokens = append(tokens, wordOf(foldSpan(seedOf(prompt, tokens), 0, layers)))
	}
	return tokens
}
