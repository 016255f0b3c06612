package issuer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/papayapond/papayapond/internal/wire"
)

// States and kinds of a target, as announced.
const (
	ready  = "ready"
	engine = "engine"
)

// guard checks whether an order would take the last ready copy of a model out
// of service.
type guard struct {
	targets []*wire.Target
	orders  []*wire.OrderState
	// settled is the time before which the effects of obeyed orders show in
	// the announcements.
	settled int64
}

// check returns why an order is refused, or "".
func (g guard) check(o *wire.OrderState) string {
	i := slices.IndexFunc(g.targets, func(t *wire.Target) bool { return t.Name == o.Order.Target })
	if i < 0 {
		return ""
	}
	t := g.targets[i]
	if t.Kind != engine {
		return fmt.Sprintf("target %s is no engine", t.Name)
	}
	if t.State != ready {
		return ""
	}
	for _, model := range t.Models {
		if !removes(o.Order, t, model) || g.isServed(t, model) {
			continue
		}
		text := fmt.Sprintf("target %s has the last ready copy of model %s", t.Name, model)
		if t.Role != "" {
			text += " in role " + t.Role
		}
		if others := g.going(t, model); len(others) > 0 {
			text += "; orders take it from " + strings.Join(others, ", ")
		}
		return text
	}
	return ""
}

// removes tells whether an order takes a model that the target has out of
// service. A change of role does so for all models, since the requests that
// the target served need a target in its present role.
func removes(o *wire.Order, t *wire.Target, model string) bool {
	switch o.Verb {
	case Unload:
		return o.Subject == model
	case Role:
		return o.Subject != t.Role
	}
	return false
}

// isServed tells whether another target keeps the model in the role of t.
func (g guard) isServed(t *wire.Target, model string) bool {
	return slices.ContainsFunc(g.targets, func(other *wire.Target) bool {
		return isCopy(other, t, model) && !g.isGoing(other, model)
	})
}

// going returns the targets that have the model in the role of t and lose it.
func (g guard) going(t *wire.Target, model string) []string {
	var names []string
	for _, other := range g.targets {
		if isCopy(other, t, model) && g.isGoing(other, model) {
			names = append(names, other.Name)
		}
	}
	return names
}

func isCopy(other, t *wire.Target, model string) bool {
	return other.Name != t.Name && other.State == ready && other.Role == t.Role && slices.Contains(other.Models, model)
}

// isGoing tells whether an order that was sent takes the model from a target,
// though the target may still announce it.
func (g guard) isGoing(t *wire.Target, model string) bool {
	return slices.ContainsFunc(g.orders, func(o *wire.OrderState) bool {
		if o.Order.Target != t.Name || !removes(o.Order, t, model) {
			return false
		}
		return o.Attempts > 0 && (o.Outcome == "" || o.Concluded > g.settled)
	})
}
