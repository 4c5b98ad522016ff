package fakes

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words of which generated answers consist.
var vocabulary = strings.Fields(`Ana takes the north route on Monday then Rui visits
six households by the harbour while Marta calls back the two that were away and
keeps Friday free for revisits mesh twine gauge knot float lead line cost quote`)

// minAnswerTokens is the minimum length of an answer whose request sets no lower limit.
const minAnswerTokens = 12

// initialState returns the hidden state before the first layer, a hash of the prompt and all
// earlier tokens.
func initialState(prompt string, tokens []string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(prompt)
	for _, t := range tokens {
		_, _ = hash.WriteString("\x00" + t)
	}
	return hash.Sum64()
}

// applyLayer returns the state after one layer. The function isn't commutative, so a layer
// that is skipped, repeated or run out of order changes every later state.
func applyLayer(state uint64, layer int) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[0:], state)
	binary.LittleEndian.PutUint64(buf[8:], uint64(layer))
	return xxhash.Sum64(buf[:])
}

// applyLayers returns the state after the layers from (inclusive) to (exclusive).
func applyLayers(state uint64, from, to int) uint64 {
	for l := from; l < to; l++ {
		state = applyLayer(state, l)
	}
	return state
}

// tokenText returns the token that the state after the last layer stands for.
func tokenText(state uint64) string {
	return vocabulary[state%uint64(len(vocabulary))] + " "
}

// answerLength returns the number of tokens in the answer to a prompt.
func answerLength(prompt string, maxTokens int) int {
	n := minAnswerTokens + int(xxhash.Sum64String(prompt)%17)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// Answer returns the only correct answer to a prompt, whatever servers its layers run on.
// Tests use it as their oracle.
func Answer(prompt string, layers, maxTokens int) []string {
	var tokens []string
	for range answerLength(prompt, maxTokens) {
		tokens = append(tokens, tokenText(applyLayers(initialState(prompt, tokens), 0, layers)))
	}
	return tokens
}
