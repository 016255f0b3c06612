package orderer

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/host"
	"github.com/papayapond/papayapond/internal/injector"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	maxBodyBytes = 1 << 20
	// maxStock is the exclusive upper bound of the quantities in stock.
	maxStock = 500
)

// faultKinds are the faults that an Orderer can inject. The last three occur after
// the order ran and before its response.
var faultKinds = []string{"slow", "status", "crash", "hang", "reset"}

// Config configures an Orderer.
type Config struct {
	Name, Zone, Address string
	Services            []string
	Latency             time.Duration // duration of each call
	File                string        // stores the runs across restarts; empty keeps them in memory
	Faults              []string      // rules, see package injector
	Seed                uint64
	Incarnation         uint64
	// Crash terminates the process immediately.
	Crash  func()
	Now    func() time.Time
	Logger *zap.Logger
}

// Orderer is a stand-in for an order service. It runs an order on every request,
// even if the order has run before; only the fleet prevents duplicates.
type Orderer struct {
	cfg    Config
	router *mux.Router
	faults *injector.Injector

	mu      sync.Mutex
	file    *os.File // nil if Config.File is empty
	orders  map[string]*record
	running int
	leaving bool
}

// record is an order. Runs counts how often it was placed.
type record struct {
	Order    string `json:"order"`
	SKU      string `json:"sku"`
	Quantity int    `json:"quantity"`
	Runs     int    `json:"runs"`
}

// New returns an Orderer that holds the orders of File. The error wraps
// fault.Malformed if a rule of Faults or a record in File is invalid.
func New(cfg Config) (*Orderer, error) {
	inj, err := injector.New(faultKinds, cfg.Faults, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	o := &Orderer{cfg: cfg, faults: inj, orders: map[string]*record{}}
	if err := o.openFile(); err != nil {
		return nil, err
	}
	r := mux.NewRouter()
	r.HandleFunc("/orders", o.placeOrder).Methods(http.MethodPost)
	r.HandleFunc("/orders/{id}", o.serveOrder).Methods(http.MethodGet)
	r.HandleFunc("/stock/{sku}", o.serveStock).Methods(http.MethodGet)
	r.HandleFunc("/counts", o.serveCounts).Methods(http.MethodGet)
	r.Handle("/v1/faults", inj).Methods(http.MethodGet, http.MethodPut)
	o.router = r
	return o, nil
}

// ServeHTTP serves the order service.
func (o *Orderer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	o.running++
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.running--
		o.mu.Unlock()
	}()
	if id := r.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	o.router.ServeHTTP(w, r)
}

// Leave makes the Orderer announce that it is leaving.
func (o *Orderer) Leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
}

// Report returns the current announcement.
func (o *Orderer) Report() *wire.Target {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := &wire.Target{
		Name: o.cfg.Name, Zone: o.cfg.Zone, Kind: "service", Address: o.cfg.Address,
		Services: o.cfg.Services, State: "ready", Incarnation: o.cfg.Incarnation,
		Running: uint32(o.running), Time: o.cfg.Now().UnixMilli(),
	}
	if o.leaving {
		t.State = "leaving"
	}
	return t
}

// placeOrder runs an order, given as a JSON object with order, sku and quantity.
func (o *Orderer) placeOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	var in record
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil || in.Order == "" {
		host.Reply(w, http.StatusBadRequest, map[string]string{"error": "want a JSON object with order, sku and quantity"})
		return
	}
	text := string(body)
	if status, ok := o.faults.Hit("status", text); ok {
		host.Reply(w, int(max(status, http.StatusInternalServerError)), map[string]string{"error": "injected fault"})
		return
	}
	o.delay(text)
	out, err := o.execute(in)
	if err != nil {
		host.Reply(w, http.StatusInternalServerError, map[string]string{"error": err.Error()})
		return
	}
	if o.injectFault(r, text) {
		return
	}
	host.Reply(w, http.StatusCreated, out)
}

// execute counts a run of an order and stores it.
func (o *Orderer) execute(in record) (record, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	in.Runs = 1
	if e := o.orders[in.Order]; e != nil {
		in.Runs += e.Runs
	}
	if o.file != nil {
		line, err := json.Marshal(in)
		if err == nil {
			_, err = o.file.Write(append(line, '\n'))
		}
		if err != nil {
			return in, eris.Wrap(err, "store order")
		}
	}
	o.orders[in.Order] = &in
	return in, nil
}

// openFile reads the orders in File and keeps the file open for appending.
func (o *Orderer) openFile() error {
	if o.cfg.File == "" {
		return nil
	}
	f, err := os.OpenFile(o.cfg.File, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "orders")
	}
	for d := json.NewDecoder(f); ; {
		var e record
		if err := d.Decode(&e); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			_ = f.Close() // the read error is reported
			return eris.Wrapf(fault.Malformed, "orders file %s: %v", o.cfg.File, err)
		}
		o.orders[e.Order] = &e
	}
	o.file = f
	return nil
}

// delay sleeps for the configured latency. The fault "slow" adds its value in
// milliseconds.
func (o *Orderer) delay(text string) {
	latency := o.cfg.Latency
	if ms, ok := o.faults.Hit("slow", text); ok {
		latency += time.Duration(ms * float64(time.Millisecond))
	}
	time.Sleep(latency)
}

// injectFault injects the faults between the run of an order and its response. It
// reports whether the response must be omitted.
func (o *Orderer) injectFault(r *http.Request, text string) bool {
	if _, ok := o.faults.Hit("crash", text); ok {
		o.cfg.Logger.Warn("injected crash after running an order")
		o.cfg.Crash()
		return true
	}
	if _, ok := o.faults.Hit("hang", text); ok {
		<-r.Context().Done()
		return true
	}
	if _, ok := o.faults.Hit("reset", text); ok {
		panic(http.ErrAbortHandler)
	}
	return false
}

func (o *Orderer) serveOrder(w http.ResponseWriter, r *http.Request) {
	o.delay("")
	o.mu.Lock()
	var out record
	e := o.orders[mux.Vars(r)["id"]]
	if e != nil {
		out = *e
	}
	o.mu.Unlock()
	if e == nil {
		host.Reply(w, http.StatusNotFound, map[string]string{"error": "no such order"})
		return
	}
	host.Reply(w, http.StatusOK, out)
}

// serveStock returns a quantity that depends only on the sku, so that a caller can
// check the response; see Stock.
func (o *Orderer) serveStock(w http.ResponseWriter, r *http.Request) {
	o.delay("")
	sku := mux.Vars(r)["sku"]
	host.Reply(w, http.StatusOK, map[string]any{"sku": sku, "quantity": Stock(sku)})
}

// Stock returns the quantity of a sku in stock.
func Stock(sku string) int {
	h := fnv.New32a()
	h.Write([]byte(sku))
	return int(h.Sum32() % maxStock)
}

// serveCounts returns the number of runs of each order.
func (o *Orderer) serveCounts(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	runs := map[string]int{}
	for id, e := range o.orders {
		runs[id] = e.Runs
	}
	o.mu.Unlock()
	host.Reply(w, http.StatusOK, runs)
}
