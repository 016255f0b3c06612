package daemon

import (
	"net/http"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/admitter"
	"github.com/papayapond/papayapond/internal/ejector"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/reporter"
	"github.com/papayapond/papayapond/internal/retrier"
	"github.com/papayapond/papayapond/internal/subscriber"
)

func (b *builder) reporter() fx.Option {
	return kernel.Part(nameReporter, func(k *kernel.Kernel) (any, fx.Hook, error) {
		s, err := kernel.Find[*subscriber.Subscriber](k, nameSubscriber)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		admit, err := kernel.Find[*admitter.Admitter](k, nameAdmitter)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		health, err := kernel.Find[*ejector.Ejector](k, nameEjector)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		budget, err := kernel.Find[*retrier.Retrier](k, nameRetrier)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		r := reporter.New(reporter.Config{Gauges: map[string]func() float64{
			"papayapond_configuration_version": func() float64 { return float64(s.Version()) },
			"papayapond_requests_in_flight":    func() float64 { return float64(b.flight()) },
			"papayapond_requests_waiting":      func() float64 { return float64(admit.Waiting()) },
			"papayapond_requests_admitted":     func() float64 { return float64(admit.Flight()) },
			"papayapond_targets_ejected":       func() float64 { return float64(health.Ejected()) },
			"papayapond_retries_refused":       func() float64 { return float64(budget.Refused()) },
		}})
		if b.settings.Metrics == "" {
			return r, fx.Hook{}, nil
		}
		handler := http.NewServeMux()
		handler.Handle("/metrics", r.Handler())
		return r, b.httpServer(nameReporter, b.settings.Metrics, handler), nil
	})
}
