package issuer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/papayapond/papayapond/internal/wire"
)

// State and kind that targets announce.
const (
	stateReady = "ready"
	kindEngine = "engine"
)

// guard checks whether an order would take the last ready copy of a model out
// of service.
type guard struct {
	targets []*wire.Target
	orders  []*wire.OrderState
	// settledBefore is the time before which the announcements reflect the
	// effects of obeyed orders.
	settledBefore int64
}

// check returns the reason to refuse an order, or "".
func (g guard) check(o *wire.OrderState) string {
	i := slices.IndexFunc(g.targets, func(t *wire.Target) bool { return t.Name == o.Order.Target })
	if i < 0 {
		return ""
	}
	t := g.targets[i]
	if t.Kind != kindEngine {
		return fmt.Sprintf("target %s is not an engine", t.Name)
	}
	if t.State != stateReady {
		return ""
	}
	for _, model := range t.Models {
		if !removes(o.Order, t, model) || g.hasOtherCopy(t, model) {
			continue
		}
		reason := fmt.Sprintf("target %s has the last ready copy of model %s", t.Name, model)
		if t.Role != "" {
			reason += " in role " + t.Role
		}
		if losing := g.targetsLosing(t, model); len(losing) > 0 {
			reason += "; other orders remove it from " + strings.Join(losing, ", ")
		}
		return reason
	}
	return ""
}

// removes reports whether an order takes a model of the target out of service. A
// role change does so for all its models, because the requests it served need a
// target in the current role.
func removes(o *wire.Order, t *wire.Target, model string) bool {
	switch o.Verb {
	case Unload:
		return o.Subject == model
	case Role:
		return o.Subject != t.Role
	}
	return false
}

// hasOtherCopy reports whether another target keeps the model in the role of t.
func (g guard) hasOtherCopy(t *wire.Target, model string) bool {
	return slices.ContainsFunc(g.targets, func(other *wire.Target) bool {
		return isOtherCopy(other, t, model) && !g.isLosing(other, model)
	})
}

// targetsLosing returns the other targets that have the model in the role of t but
// are about to lose it.
func (g guard) targetsLosing(t *wire.Target, model string) []string {
	var names []string
	for _, other := range g.targets {
		if isOtherCopy(other, t, model) && g.isLosing(other, model) {
			names = append(names, other.Name)
		}
	}
	return names
}

// isOtherCopy reports whether other is a different ready target that has the
// model in the role of t.
func isOtherCopy(other, t *wire.Target, model string) bool {
	return other.Name != t.Name && other.State == stateReady && other.Role == t.Role && slices.Contains(other.Models, model)
}

// isLosing reports whether an order that has been sent removes the model from a
// target, even if the target still announces the model.
func (g guard) isLosing(t *wire.Target, model string) bool {
	return slices.ContainsFunc(g.orders, func(o *wire.OrderState) bool {
		if o.Order.Target != t.Name || !removes(o.Order, t, model) {
			return false
		}
		return o.Attempts > 0 && (o.Outcome == "" || o.Concluded > g.settledBefore)
	})
}
