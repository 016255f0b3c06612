package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// restrictTimeout bounds how long an attempt waits while its content is
// restricted to targets that the job can't use.
const restrictTimeout = 5 * time.Second

// pick chooses the target of an attempt. The returned function releases the
// target. The error wraps fault.Poison if the content is blocked, fault.Expired
// if ctx ends, and fault.Unavailable if there is no target.
func (d *Dispatcher) pick(ctx context.Context, job *Job, allowed func(string) bool) (*wire.Target, func(), error) {
	timeout := time.NewTimer(restrictTimeout)
	defer timeout.Stop()
	for {
		if d.cfg.Blocked(job.Digest) {
			return nil, nil, fault.Poison
		}
		if d.cfg.Restrict == nil {
			return d.cfg.Pick(job.Model, job.Service, job.Prompt, allowed)
		}
		restricted, suspect, changed := d.cfg.Restrict(job.Digest)
		target, done, err := d.choose(job, suspect, func(name string) bool {
			return allowed(name) && (restricted == nil || slices.Contains(restricted, name))
		})
		switch {
		case err == nil:
			if end, ok := d.cfg.BeginAttempt(job.Digest, target.Name); ok {
				return target, func() { done(); end() }, nil
			}
			done()
		case restricted == nil:
			return nil, nil, err
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, nil, fault.Expired
			case <-timeout.C:
				return nil, nil, err
			}
		}
	}
}

func (d *Dispatcher) choose(job *Job, suspect bool, allowed func(string) bool) (*wire.Target, func(), error) {
	if suspect {
		return d.cfg.Trial(job.Model, job.Service, job.Digest, allowed)
	}
	return d.cfg.Pick(job.Model, job.Service, job.Prompt, allowed)
}
