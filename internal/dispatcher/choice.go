package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// confineTime bounds the time for which an attempt waits because its content
// may run only on targets that the job can't use.
const confineTime = 5 * time.Second

// pick chooses the target of an attempt; done ends its use. The error wraps
// fault.Poison if the content is blocked, fault.Expired if ctx ends, and
// fault.Unavailable if there is no target.
func (d *Dispatcher) pick(ctx context.Context, job *Job, allowed func(string) bool) (*wire.Target, func(), error) {
	late := time.NewTimer(confineTime)
	defer late.Stop()
	for {
		if d.cfg.Blocked(job.Digest) {
			return nil, nil, fault.Poison
		}
		if d.cfg.Restrict == nil {
			return d.cfg.Pick(job.Model, job.Service, job.Prompt, allowed)
		}
		only, suspect, changed := d.cfg.Restrict(job.Digest)
		target, done, err := d.choose(job, suspect, func(name string) bool {
			return allowed(name) && (only == nil || slices.Contains(only, name))
		})
		switch {
		case err == nil:
			if leave, ok := d.cfg.BeginAttempt(job.Digest, target.Name); ok {
				return target, func() { done(); leave() }, nil
			}
			done()
		case only == nil:
			return nil, nil, err
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, nil, fault.Expired
			case <-late.C:
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
