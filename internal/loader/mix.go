package loader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/completion"
	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// conversations per client, whose beginnings are shared by chat requests.
	conversations = 24
	skus          = 200
)

// class is one kind of request. Sizes are inclusive ranges.
type class struct {
	name     string
	prefix   [2]int // bytes shared by the requests of a conversation
	prompt   [2]int // bytes of the request's own prompt
	output   [2]int // max_tokens
	stream   bool
	priority int
}

// classes are those of the two firms. Stock checks and orders are calls to a
// plain service.
var classes = []class{
	{name: "quote", prompt: [2]int{4000, 16000}, output: [2]int{300, 800}, stream: true, priority: 2},
	{name: "sheet", prompt: [2]int{4000, 16000}, output: [2]int{80, 200}, priority: 1},
	{name: "chat", prefix: [2]int{1000, 3000}, prompt: [2]int{40, 200}, output: [2]int{60, 200}, stream: true},
	{name: "tag", prompt: [2]int{50, 300}, output: [2]int{4, 8}},
	{name: classStock},
	{name: classOrder},
}

const (
	classStock = "stock"
	classOrder = "order"
)

// client is one client account.
type client struct {
	name, key string
	weight    float64
}

// request is one request of the mix, without its entry instance.
type request struct {
	index  int
	class  class
	client client
	method string
	path   string // starts with /v1
	body   []byte
	key    string // Idempotency-Key, may be empty
	prompt []byte // as the engine sees it
	tokens int    // of the prompt
	limit  int    // max_tokens
	order  string
	sku    string
}

// parseMix reads "class=weight,...". A class that isn't named has weight 0.
func parseMix(text string) ([]float64, error) {
	weights := make([]float64, len(classes))
	for _, f := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(f, "=")
		weight, err := strconv.ParseFloat(value, 64)
		if err != nil || weight < 0 {
			return nil, eris.Wrapf(fault.Malformed, "mix: got %q, want class=weight", f)
		}
		found := false
		for i, c := range classes {
			if c.name == name {
				weights[i], found = weight, true
			}
		}
		if !found {
			return nil, eris.Wrapf(fault.Malformed, "mix: unknown class %q, want quote, sheet, chat, tag, stock or order", name)
		}
	}
	return weights, nil
}

// parseClients reads "name:key:weight" for each client.
func parseClients(texts []string) ([]client, error) {
	clients := make([]client, 0, len(texts))
	for _, text := range texts {
		f := strings.Split(text, ":")
		if len(f) != 3 {
			return nil, eris.Wrapf(fault.Malformed, "client: got %q, want name:key:weight", text)
		}
		weight, err := strconv.ParseFloat(f[2], 64)
		if err != nil || weight <= 0 {
			return nil, eris.Wrapf(fault.Malformed, "client %s: got weight %q, want a positive number", f[0], f[2])
		}
		clients = append(clients, client{f[0], f[1], weight})
	}
	return clients, nil
}

// build returns the request with the given index. It depends on the seed, the
// tag and the index alone.
func (l *Loader) build(index int) (request, error) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, uint64(index)))
	r := request{index: index, client: l.clients[pick(rng, l.shares)], class: classes[pick(rng, l.mix)]}
	id := fmt.Sprintf("%s-%d-%d", l.cfg.Tag, l.cfg.Seed, index)
	if l.cfg.Keys || r.class.name == classOrder {
		r.key = id
	}
	var err error
	switch r.class.name {
	case classStock:
		r.sku = "sku-" + strconv.Itoa(rng.IntN(skus))
		r.method, r.path = http.MethodGet, "/v1/services/"+l.cfg.Service+"/stock/"+r.sku
	case classOrder:
		r.order, r.sku = id, "sku-"+strconv.Itoa(rng.IntN(skus))
		r.method, r.path = http.MethodPost, "/v1/services/"+l.cfg.Service+"/orders"
		r.body, err = json.Marshal(map[string]any{"order": r.order, "sku": r.sku, "quantity": 1 + rng.IntN(9)})
	default:
		err = l.ask(&r, rng, id)
	}
	return r, err
}

// ask fills in a model request. The id makes its prompt unique, so that the
// answer to another request is recognised.
func (l *Loader) ask(r *request, rng *rand.Rand, id string) error {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	var messages []message
	if r.class.prefix[1] > 0 {
		shared := rand.New(rand.NewPCG(l.cfg.Seed, uint64(rng.IntN(conversations))))
		messages = append(messages, message{"system", l.cfg.Tag + " " + r.client.name + text(shared, r.class.prefix)})
	}
	messages = append(messages, message{"user", id + text(rng, r.class.prompt)})
	list, err := json.Marshal(messages)
	if err != nil {
		return eris.Wrap(err, "messages")
	}
	if r.prompt, r.tokens, err = completion.Prompt(list, nil); err != nil {
		return err
	}
	r.method, r.path = http.MethodPost, "/v1/chat/completions"
	r.limit = within(rng, r.class.output)
	r.body, err = json.Marshal(map[string]any{
		"model": l.cfg.Models[rng.IntN(len(l.cfg.Models))], "messages": json.RawMessage(list),
		"max_tokens": r.limit, "stream": r.class.stream, "priority": r.class.priority,
	})
	return err
}

// pick returns an index with a probability proportional to its weight.
func pick(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return len(weights) - 1
}

func within(rng *rand.Rand, r [2]int) int { return r[0] + rng.IntN(r[1]-r[0]+1) }

// text returns pseudo-words of a total length within the range.
func text(rng *rand.Rand, size [2]int) string {
	n := within(rng, size)
	b := make([]byte, 0, n+8)
	for len(b) < n {
		bits := rng.Uint64()
		b = append(b, ' ')
		for range 2 + bits>>60&3 {
			b = append(b, 'a'+byte(bits&0xff)%26)
			bits >>= 8
		}
	}
	return string(b[:n])
}
