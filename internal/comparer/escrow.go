package comparer

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/holder"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

const (
	// patience is how long a caller waits for a reservation.
	patience = 5 * time.Second
	// openTime bounds the start of the holders.
	openTime = time.Minute
	// warmUp lets the holders get their first rights.
	warmUp = 5 * time.Second
	// restTime lets the last calls of ended instances return.
	restTime = 5 * time.Second
)

// escrow is the product's division of budgets over fakes.
type escrow struct {
	cfg     Config
	meter   *meter
	network *network
	log     *quorum
	holders []*holder.Holder
	entries [][]*entry     // by zone
	books   sync.WaitGroup // of the holders
	tasks   sync.WaitGroup // of the instances
}

// Escrow runs the workload against the product's objects. It must be called in
// a testing/synctest bubble. Its error says that the product broke a promise.
func (c *Comparer) Escrow() (Result, error) {
	e := &escrow{cfg: c.cfg, meter: newMeter(c.cfg)}
	e.network = &network{cfg: c.cfg, meter: e.meter}
	// The instances end before the holders, which take their allowances back.
	books, closeBooks := context.WithCancel(context.Background())
	defer e.books.Wait()
	defer closeBooks()
	ctx, cancel := context.WithCancel(context.Background())
	defer time.Sleep(restTime)
	defer e.tasks.Wait()
	defer cancel()
	if err := e.start(ctx, books); err != nil {
		return Result{}, err
	}
	time.Sleep(warmUp)
	e.meter.reset()
	begin := time.Now()
	e.network.start.Store(&begin)
	if c.cfg.Crash > 0 {
		e.tasks.Go(func() { e.crashAll(ctx) })
	}
	var requests sync.WaitGroup
	for _, x := range c.events {
		time.Sleep(x.at - time.Since(begin))
		requests.Go(func() { e.serve(ctx, x) })
	}
	requests.Wait()
	return e.meter.finish(), e.check()
}

func (e *escrow) start(ctx, books context.Context) error {
	var names []string
	for z := range e.cfg.Zones {
		names = append(names, zoneName(z))
	}
	e.log = newQuorum(names)
	reply, err := e.log.controller.Propose(ctx, &wire.ProposeRequest{Command: &wire.Command{
		Change: &wire.Command_Configure{Configure: &wire.Configure{Document: e.document(), Zones: names}}}})
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		return err
	}
	for z := range e.cfg.Zones {
		h, err := holder.New(e.holder(z, names))
		if err != nil {
			return err
		}
		e.holders = append(e.holders, h)
	}
	for z, h := range e.holders {
		e.books.Go(func() { h.Run(books) })
		var zone []*entry
		for i := range e.cfg.Zones[z] {
			zone = append(zone, newEntry(ctx, e, z, i))
		}
		e.entries = append(e.entries, zone)
	}
	limit := time.Now().Add(openTime)
	for _, h := range e.holders {
		for h.Ledger() == nil {
			if time.Now().After(limit) {
				return eris.Wrap(fault.Unavailable, "books don't open")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (e *escrow) document() []byte {
	now := time.Now()
	v := venture.New("comparison", now.AddDate(-1, 0, 0), now.AddDate(1, 0, 0)).WithVersion(1, 0).WithReserve(e.cfg.Reserve)
	for _, a := range e.cfg.Accounts {
		v = v.WithAccounts(account.New(a.Name, a.Budget).WithKeys(account.Hash([]byte("saltsalt"), a.Name)))
	}
	return printer.Text(v)
}

// holder returns the configuration of the holder of a zone, named as the zone.
func (e *escrow) holder(zone int, names []string) holder.Config {
	var others, instances []string
	for z, name := range names {
		if z != zone {
			others = append(others, name)
		}
	}
	for i := range e.cfg.Zones[zone] {
		instances = append(instances, instanceName(zone, i))
	}
	return holder.Config{
		Name: names[zone], Zone: names[zone], Path: filepath.Join(e.cfg.Path, names[zone]), Peers: others,
		Instances:      func() []string { return instances },
		LocalInstances: instances,
		ReserveShare:   func() float64 { return e.cfg.Reserve },
		Propose: func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error) {
			return e.log.propose(ctx, e.network, zone, command)
		},
		Read:    e.log.controller.Read,
		Copy:    between(e, zone, false, (*holder.Holder).Copy),
		Fetch:   between(e, zone, false, (*holder.Holder).Fetch),
		Release: between(e, zone, true, (*holder.Holder).Release),
		Tally:   between(e, zone, true, (*holder.Holder).Tally),
		Now:     time.Now,
		Logger:  zap.NewNop(),
	}
}

// serve runs one request on an instance of its zone that lives.
func (e *escrow) serve(ctx context.Context, x event) {
	zone := e.entries[x.zone]
	n := zone[x.instance]
	for i := 1; i < len(zone) && !n.isAlive(); i++ {
		n = zone[(x.instance+i)%len(zone)]
	}
	r := n.current()
	begin := time.Now()
	call, cancel := context.WithTimeout(ctx, patience)
	ticket, err := r.Reserve(call, e.cfg.Accounts[x.account].Name, x.bound)
	cancel()
	wait := time.Since(begin)
	if err != nil {
		e.meter.refuse(x, wait)
		return
	}
	e.meter.admit(x, wait)
	time.Sleep(x.run)
	if n.current() != r || !n.isAlive() {
		e.meter.settle(x, false) // the connection of the caller broke
		return
	}
	outcome, err := r.Settle(ctx, ticket, &wire.Bill{
		Account: e.cfg.Accounts[x.account].Name, Request: strconv.FormatInt(int64(x.at), 36), Digest: make([]byte, 32),
		Model: "model", Target: "target", Amount: x.used,
	})
	e.meter.settle(x, err == nil && outcome == wire.Outcome_OUTCOME_BILLED)
}

// crashAll kills one instance at each interval, in turn.
func (e *escrow) crashAll(ctx context.Context) {
	var all []*entry
	for _, zone := range e.entries {
		all = append(all, zone...)
	}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.cfg.Crash):
			all[i%len(all)].crash(ctx)
		}
	}
}

// check compares the books with the budgets and with what callers were told.
func (e *escrow) check() error {
	result := e.meter.finish()
	var sum int64
	for _, a := range e.cfg.Accounts {
		var billed int64
		for _, h := range e.holders {
			for _, t := range h.Ledger().Tally(a.Name) {
				billed += t.Billed
			}
		}
		if billed > a.Budget {
			return eris.Wrapf(fault.Broken, "account %s: %d tokens billed, %d prepaid", a.Name, billed, a.Budget)
		}
		sum += billed
	}
	if sum < result.Billed {
		return eris.Wrapf(fault.Broken, "the books hold %d billed tokens, callers were told %d", sum, result.Billed)
	}
	return nil
}

func instanceName(zone, i int) string { return fmt.Sprintf("%s%d", zoneName(zone), i+1) }
