package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// cutTime is how long the machine is cut off; the standard days of the site go up to 8.4 s.
	cutTime = 7 * time.Second
	// streamCount is the number of streams that clients begin.
	streamCount = 12
	// streamTimeout is the time limit of a stream, takeUpTime the time for which a
	// client tries to take it up.
	streamTimeout = 12 * time.Second
	takeUpTime    = 3 * time.Second
	// breakAfter is the event after which the new runner breaks its first streams off.
	breakAfter = 12
)

// playVersions cuts one edge machine off from the other machines of the system while a
// runner of a new software version joins. Streams that begin on it through another edge
// machine break off, and their clients take them up at the machine that is cut off.
func playVersions(e *environment) (broken bool, err error) {
	f, err := newFleet(e, []string{"z0", "z0", "z1", "z2"}, 134, true)
	if err != nil {
		return false, err
	}
	pids := func() []int {
		var list []int
		for _, m := range f.machines() {
			list = append(list, m.pid())
		}
		return list
	}
	for _, l := range f.links {
		l.mu.Lock()
		l.pids = pids
		l.mu.Unlock()
	}
	if err := f.configure(1, []any{route("sheet", "streaming", "bench", 12000, true)}, []any{
		map[string]any{"Name": "bench", "HealthPath": "/healthz", "MaxConnections": 370, "Protocol": "h1", "Tls": false, "Engine": engine()},
	}); err != nil {
		return false, err
	}
	var runners []*runner
	for i := range 2 {
		g := &runner{e: e, id: fmt.Sprint("i-old-", i), service: "bench", zone: "z0", version: "v1", weights: 1, address: fmt.Sprint(f.prefix, 40+i, ":8080")}
		g.serve = func(w http.ResponseWriter, r *http.Request) { g.stream(w, r, 0) }
		runners = append(runners, g)
		if err := g.start(f); err != nil {
			return false, err
		}
	}
	if err := f.await(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	isolated, other := f.edges[0], f.edges[1]
	if e.trouble {
		e.record.printf("%s is cut off from all other machines of the system for %v", isolated.name, cutTime)
		f.cut(isolated)
		time.AfterFunc(cutTime, func() {
			e.record.printf("the cut of %s heals", isolated.name)
			f.heal()
		})
	}
	time.Sleep(500 * time.Millisecond)

	// The release: a runner of a new version starts, then an old one leaves.
	next := &runner{e: e, id: "i-new-0", service: "bench", zone: "z0", version: "v2", weights: 2, address: f.prefix + "45:8080"}
	var mu sync.Mutex
	brokenOff := map[string]bool{}
	next.serve = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n := 0
		if r.Header.Get("Last-Event-Id") == "" && !brokenOff[r.Header.Get(names["attempt"])] {
			brokenOff[r.Header.Get(names["attempt"])] = true
			n = breakAfter
		}
		mu.Unlock()
		next.stream(w, r, n)
	}
	if err := next.start(f); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	runners[0].drain()
	time.Sleep(500 * time.Millisecond)

	var group sync.WaitGroup
	results := make([]*stream, streamCount)
	for i := range results {
		s := &stream{e: e, name: fmt.Sprintf("%08x%08x", os.Getpid(), i)}
		results[i] = s
		group.Go(func() { s.play(other, isolated) })
	}
	group.Wait()
	joined, taken, broke := 0, 0, 0
	for _, s := range results {
		if s.broke && s.versions[0] == next.version {
			broke++
		}
		if s.taken {
			taken++
		}
		if len(s.versions) > 1 {
			joined++
		}
		e.record.printf("stream %s: events of %v, complete %v, taken up %v, refused %d times", s.name, s.versions, s.complete, s.taken, s.refused)
	}
	e.record.printf("%d streams, %d of the new version broke off, %d taken up at %s, %d joined from two software versions", len(results), broke, taken, isolated.name, joined)
	for _, m := range f.machines() {
		f.signal(m, syscall.SIGTERM)
	}
	if broke == 0 {
		return false, errors.New("no stream of the new version broke off")
	}
	return joined > 0, nil
}

// cut holds all bytes between a machine and the other machines of the system.
func (f *fleet) cut(m *machine) {
	pid := m.pid()
	for _, l := range f.links {
		if l.m == m {
			l.set(func(int) bool { return true })
		} else {
			l.set(func(owner int) bool { return owner == pid })
		}
	}
}

// heal ends the cut.
func (f *fleet) heal() {
	for _, l := range f.links {
		l.set(nil)
	}
}

// stream is a stream that a client has asked for, with what it got.
type stream struct {
	e        *environment
	name     string
	last     int // id of the last event
	versions []string
	complete bool
	broke    bool
	taken    bool // at the second machine
	refused  int
}

// play asks for the stream at one machine and takes it up at another one if it breaks.
func (s *stream) play(first, second *machine) {
	until := time.Now().Add(streamTimeout)
	attempt := s.name
	err := s.ask(first, attempt, "", until)
	if err == nil || s.last == 0 {
		return
	}
	s.broke = true
	s.e.record.printf("stream %s broke after event %d: %v", s.name, s.last, err)
	limit := time.Now().Add(takeUpTime)
	for i := 1; time.Now().Before(limit); i++ {
		before := s.last
		err := s.ask(second, fmt.Sprintf("%s.%d", s.name, i), attempt, until)
		s.taken = s.taken || s.last > before
		if err == nil {
			return
		}
		s.e.record.printf("stream %s, attempt %d: %v", s.name, i, err)
		time.Sleep(300 * time.Millisecond)
	}
}

// ask sends one attempt and reads its events. The request that takes a stream up
// carries the last event, and in Resumes the attempt that brought the first one.
func (s *stream) ask(m *machine, attempt, resumes string, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/sheet/%s", m.ip, frontendPort, s.name), strings.NewReader("draw the cut sheet"))
	if err != nil {
		return err
	}
	r.Host = host
	r.Header.Set(names["attempt"], attempt)
	r.Header.Set(names["limit"], strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	r.Header.Set("X-Model", "m")
	r.Header.Set(names["usage"], "100,240")
	r.Header.Set("Authorization", "Bearer "+key)
	if resumes != "" {
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		r.Header.Set("Resumes", resumes)
	}
	s.e.record.printf("client sends %s to %s, after event %d", attempt, m.name, s.last)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	s.e.record.printf("client gets %d for %s from %s", a.StatusCode, attempt, m.name)
	if a.StatusCode != http.StatusOK {
		if a.StatusCode == http.StatusServiceUnavailable {
			s.refused++
		}
		return fmt.Errorf("status %d, Retry-After %s", a.StatusCode, a.Header.Get("Retry-After"))
	}
	body := bufio.NewReader(a.Body)
	id := 0
	for {
		line, err := body.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			s.complete = s.last == streamEvents
			return nil
		}
		if err != nil {
			return err
		}
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			v := versionOf(text)
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != v {
				s.versions = append(s.versions, v)
				s.e.record.printf("stream %s: event %d of version %s", s.name, id, v)
			}
			s.last = id
		}
	}
}
