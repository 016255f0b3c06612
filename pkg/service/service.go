package service

import "slices"

// Service is a plain service.
type Service struct {
	// Name is unique among the services of the venture.
	Name string `toml:"name"`
	// Price is the fixed price of a call in tokens, 0 or more.
	Price int64 `toml:"price"`
	// Calls are the calls that the service accepts. Their order has no meaning.
	Calls []Call `toml:"calls"`
}

// Call is one call of a service.
type Call struct {
	// Method is the HTTP method.
	Method string `toml:"method"`
	// Path is the path relative to the address of the service.
	Path string `toml:"path"`
	// Repeatable calls may run more than once.
	Repeatable bool `toml:"repeatable"`
}

// New returns a service with a price per call in tokens.
func New(name string, price int64) Service {
	return Service{Name: name, Price: price}
}

// WithPrice returns a copy with a different price in tokens.
func (s Service) WithPrice(tokens int64) Service {
	s = s.clone()
	s.Price = tokens
	return s
}

// WithCall returns a copy that accepts an additional call, which runs at most
// once.
func (s Service) WithCall(method, path string) Service {
	s = s.clone()
	s.Calls = append(s.Calls, Call{Method: method, Path: path})
	return s
}

// WithRepeatable returns a copy that accepts an additional call, which may be
// repeated.
func (s Service) WithRepeatable(method, path string) Service {
	s = s.clone()
	s.Calls = append(s.Calls, Call{Method: method, Path: path, Repeatable: true})
	return s
}

func (s Service) clone() Service {
	s.Calls = slices.Clone(s.Calls)
	return s
}
