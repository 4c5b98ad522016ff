package setts

import (
	"fmt"
	"strconv"
	"strings"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Placement is what one engine is to hold.
type Placement struct {
	Model string
	Span  model.Span
}

// ParsePlacement reads a placement such as "roster-7b 0-16".
func ParsePlacement(text string) (Placement, error) {
	name, layers, ok := strings.Cut(text, " ")
	from, to, isRange := strings.Cut(layers, "-")
	if !ok || !isRange || name == "" {
		return Placement{}, fmt.Errorf("%q is not MODEL FROM-TO", text)
	}
	first, err := strconv.Atoi(from)
	if err != nil {
		return Placement{}, fmt.Errorf("%q: %w", text, err)
	}
	end, err := strconv.Atoi(to)
	if err != nil {
		return Placement{}, fmt.Errorf("%q: %w", text, err)
	}
	if first < 0 || end <= first {
		return Placement{}, fmt.Errorf("%q: the layers must rise", text)
	}
	return Placement{Model: name, Span: model.Span{From: first, To: end}}, nil
}
