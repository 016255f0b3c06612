package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 64 << 20

// Config configures an Operator.
type Config struct {
	// Authenticate returns the name of the operator that a key belongs to.
	Authenticate func(key string) (string, error)
	// Propose sends a command to the control members.
	Propose func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error)
	// Read reads the state of the control members.
	Read func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Tally queries the ledger of each zone. Zones that don't respond are missing
	// in the result.
	Tally func(ctx context.Context, request *wire.TallyRequest) map[string]*wire.TallyReply
	// List returns all instances and targets known to a holder.
	List func(ctx context.Context) (*wire.ListReply, error)
	// Zones lists the zones that have a holder.
	Zones []string
	// Level is the log level of the instance; nil if it can't be changed.
	Level  *zap.AtomicLevel
	Logger *zap.Logger
}

// Operator is the HTTP handler for operators.
type Operator struct {
	cfg Config
	mux *mux.Router
}

// New returns the handler for operators.
func New(cfg Config) *Operator {
	o := &Operator{cfg: cfg, mux: mux.NewRouter()}
	o.mux.HandleFunc("/v1/configuration", o.handler(o.submit)).Methods(http.MethodPut)
	o.mux.HandleFunc("/v1/configuration", o.handler(o.configuration)).Methods(http.MethodGet)
	o.mux.HandleFunc("/v1/topups", o.handler(o.topup)).Methods(http.MethodPost)
	o.mux.HandleFunc("/v1/fleet", o.handler(o.fleet)).Methods(http.MethodGet)
	o.mux.HandleFunc("/v1/accounts/{name}/statement", o.handler(o.statement)).Methods(http.MethodGet)
	o.mux.HandleFunc("/v1/books", o.handler(o.books)).Methods(http.MethodGet)
	o.mux.HandleFunc("/v1/dissolution", o.handler(o.dissolve)).Methods(http.MethodPost)
	o.mux.HandleFunc("/v1/orders", o.handler(o.order)).Methods(http.MethodPost)
	o.mux.HandleFunc("/v1/level", o.handler(o.level)).Methods(http.MethodGet, http.MethodPut)
	o.mux.HandleFunc("/v1/orders", o.handler(o.orders)).Methods(http.MethodGet)
	return o
}

// ServeHTTP implements http.Handler.
func (o *Operator) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// call is an authenticated request from an operator.
type call struct {
	http.ResponseWriter
	request  *http.Request
	operator string
}

func (o *Operator) handler(handle func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, err := o.cfg.Authenticate(key)
		if err == nil {
			err = handle(&call{w, r, name})
		}
		if err == nil {
			return
		}
		kind := fault.Of(err)
		o.cfg.Logger.Info("operator request rejected", zap.String("operator", name), zap.String("path", r.URL.Path), zap.String("code", kind.Code()), zap.String("cause", err.Error()))
		type detail struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		}
		writeJSON(w, kind.HTTPStatus(), struct {
			Error detail `json:"error"`
		}{detail{kind.Code(), err.Error()}})
	}
}

func (o *Operator) submit(c *call) error {
	text, err := io.ReadAll(io.LimitReader(c.request.Body, maxBody))
	if err != nil {
		return eris.Wrapf(fault.Malformed, "read request body: %v", err)
	}
	parsed, err := configuration.Parse(text)
	if err != nil {
		return err
	}
	command := &wire.Command{Change: &wire.Command_Configure{Configure: &wire.Configure{
		Document: text, Version: parsed.Version(), Replaces: parsed.Replaces(), Operator: c.operator,
	}}}
	if _, err := o.propose(c, command); err != nil {
		return err
	}
	writeJSON(c, http.StatusOK, struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}{parsed.Version(), hex.EncodeToString(parsed.Digest())})
	return nil
}

func (o *Operator) configuration(c *call) error {
	state, err := o.cfg.Read(c.request.Context(), &wire.ReadRequest{Document: true})
	if err != nil {
		return err
	}
	if len(state.Document) == 0 {
		return eris.Wrap(fault.Missing, "no configuration has been accepted yet")
	}
	c.Header().Set("Content-Type", "application/toml")
	_, err = c.Write(state.Document)
	return eris.Wrap(err, "write response")
}

func (o *Operator) topup(c *call) error {
	var body struct {
		Name    string `json:"name"`
		Account string `json:"account"`
		Tokens  int64  `json:"tokens"`
	}
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	if body.Name == "" || body.Account == "" || body.Tokens <= 0 {
		return eris.Wrap(fault.Malformed, "name, account and tokens are required, and tokens must be greater than 0")
	}
	_, err := o.propose(c, &wire.Command{Change: &wire.Command_Topup{Topup: &wire.Topup{Name: body.Name, Account: body.Account, Tokens: body.Tokens, Operator: c.operator}}})
	if err != nil {
		return err
	}
	writeJSON(c, http.StatusOK, body)
	return nil
}

func (o *Operator) dissolve(c *call) error {
	if _, err := o.propose(c, &wire.Command{Change: &wire.Command_Dissolve{Dissolve: &wire.Dissolve{Operator: c.operator}}}); err != nil {
		return err
	}
	return o.books(c)
}

func (o *Operator) propose(c *call, command *wire.Command) (*wire.ProposeReply, error) {
	reply, err := o.cfg.Propose(c.request.Context(), command)
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func decodeBody(c *call, body any) error {
	d := json.NewDecoder(io.LimitReader(c.request.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(body); err != nil {
		return eris.Wrapf(fault.Malformed, "decode request body: %v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(body)
}
