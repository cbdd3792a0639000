package releaser

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
)

// Kind is the stream kind of the reports to the decider.
const Kind = "rollout"

const (
	// maxFrameBytes bounds a report and its answer.
	maxFrameBytes = 256 << 10
	// exchangeTimeout bounds a report and its answer.
	exchangeTimeout = time.Second
	// idleTimeout is the time after which the decider closes a stream without
	// reports.
	idleTimeout = 10 * time.Second
)

// Exchanger sends the reports of a node to the decider and applies the answers. Set the
// exported fields before Run.
type Exchanger struct {
	Self   string
	Boot   uint64
	Gate   *Gate
	Keeper *Keeper
	// Services returns the serving instances of all services.
	Services func() map[string][]sycamorerun.Instance
	// Decider returns the name of the node that decides, or an empty string.
	Decider func() string
	Open    func(ctx context.Context, peer, kind string) (net.Conn, error)

	peer string
	conn net.Conn
}

// Run reports while a service has several releases, until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	defer e.close()
	var last time.Time
	asked := 0
	for ctx.Err() == nil {
		services := e.Gate.Learn(e.Services())
		now := time.Now()
		// A service that has just got another release is asked about at once.
		due := len(services) > asked || now.Sub(last) >= reportPeriod
		if len(services) == 0 {
			e.close()
			asked = 0
		} else if due {
			last, asked = now, len(services)
			if err := e.exchange(ctx, services); err != nil {
				e.close()
			}
		}
		sleep(ctx, stepInterval)
	}
	return nil
}

// exchange sends one report and applies the answer.
func (e *Exchanger) exchange(ctx context.Context, services []string) error {
	started := time.Now()
	report := &Report{From: e.Self, Boot: e.Boot, Progress: e.Gate.Progress(started, services)}
	words, err := e.send(ctx, report)
	if err != nil || !words.GetKnown() {
		return err
	}
	decisions := make([]decision, 0, len(words.GetWords()))
	for _, word := range words.GetWords() {
		decisions = append(decisions, decodeDecision(word))
	}
	// The answer may be as old as the report.
	e.Gate.Update(started, decisions)
	return nil
}

func (e *Exchanger) send(ctx context.Context, report *Report) (*Words, error) {
	decider := e.Decider()
	switch decider {
	case "":
		return nil, errors.New("no decider")
	case e.Self:
		return e.Keeper.answer(time.Now(), report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if e.conn == nil || e.peer != decider {
		e.close()
		conn, err := e.Open(ctx, decider, Kind)
		if err != nil {
			return nil, err
		}
		e.conn, e.peer = conn, decider
	}
	_ = e.conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if _, err := encoder.Write(e.conn, report); err != nil {
		return nil, err
	}
	return encoder.Read[Words](e.conn, maxFrameBytes)
}

func (e *Exchanger) close() {
	if e.conn != nil {
		_ = e.conn.Close()
		e.conn = nil
	}
}

// Serve answers the reports on a stream.
func (k *Keeper) Serve(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	for {
		_ = stream.SetDeadline(time.Now().Add(idleTimeout))
		report, err := encoder.Read[Report](stream, maxFrameBytes)
		if err != nil {
			return
		}
		if _, err := encoder.Write(stream, k.answer(time.Now(), report)); err != nil {
			return
		}
	}
}

// reporter returns the key of the run of a node that sent a report.
func reporter(report *Report) string {
	return report.GetFrom() + "/" + strconv.FormatUint(report.GetBoot(), 36)
}

func encodeDecision(d decision) *Word {
	return &Word{
		Service: d.service, Order: d.order, Target: d.target, State: string(d.state), Share: d.share,
		Instances: d.instances, All: d.all, Releases: d.releases,
	}
}

func decodeDecision(w *Word) decision {
	return decision{
		service: w.GetService(), order: w.GetOrder(), target: w.GetTarget(), state: sycamorerun.RolloutState(w.GetState()),
		share: w.GetShare(), instances: w.GetInstances(), all: w.GetAll(), releases: w.GetReleases(),
	}
}
