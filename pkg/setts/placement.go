package setts

import (
	"fmt"
	"strconv"
	"strings"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Placement is the model and the layers that an engine is to hold.
type Placement struct {
	Model string
	Span  model.Span
}

// ParsePlacement reads a placement of the form MODEL FROM-TO, such as
// "roster-7b 0-16" for the layers 0 to 15.
func ParsePlacement(text string) (Placement, error) {
	name, layers, ok := strings.Cut(text, " ")
	from, to, hasDash := strings.Cut(layers, "-")
	if !ok || !hasDash || name == "" {
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
