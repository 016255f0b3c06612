package daemon

import (
	"net/http"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/reporter"
	"github.com/papayapond/papayapond/internal/subscriber"
)

func (b *builder) reporter() fx.Option {
	return kernel.Part(nameReporter, func(k *kernel.Kernel) (any, fx.Hook, error) {
		s, err := kernel.Find[*subscriber.Subscriber](k, nameSubscriber)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		r := reporter.New(reporter.Config{Gauges: map[string]func() float64{
			"papayapond_configuration_version": func() float64 { return float64(s.Version()) },
			"papayapond_requests_in_flight":    func() float64 { return float64(b.flight()) },
		}})
		if b.settings.Metrics == "" {
			return r, fx.Hook{}, nil
		}
		handler := http.NewServeMux()
		handler.Handle("/metrics", r.Handler())
		return r, b.httpServer(nameReporter, b.settings.Metrics, handler), nil
	})
}
