package distributor

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/encoder"
)

const (
	// maxLagging bounds each list of node names in a survey's result.
	maxLagging = 16
	// surveyTimeout bounds a whole survey.
	surveyTimeout = 3 * time.Second
	// surveyMargin is the part of its time that a node reserves for its own
	// response.
	surveyMargin = 100 * time.Millisecond
	// surveyFrameBytes bounds the frame of a Report.
	surveyFrameBytes = 64 << 10
)

// LaggingNode is a node whose version in force is below the survey's target.
type LaggingNode struct {
	Name    string
	Version sycamorerun.Version
	Since   time.Time
}

// Convergence is the result of a survey.
type Convergence struct {
	// Target is the version below which a node counts as lagging.
	Target sycamorerun.Version
	Counts map[sycamorerun.Version]int
	// Lagging lists up to 16 nodes, the longest lagging first.
	Lagging []LaggingNode
	// Unreachable lists up to 16 nodes that did not respond. Their descendants
	// in the tree are not counted.
	Unreachable []string
}

// merge adds the result of a subtree.
func (c *Convergence) merge(other Convergence) {
	for version, count := range other.Counts {
		c.Counts[version] += count
	}
	c.Lagging = append(c.Lagging, other.Lagging...)
	slices.SortFunc(c.Lagging, func(a, b LaggingNode) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Name, b.Name))
	})
	c.Lagging = c.Lagging[:min(len(c.Lagging), maxLagging)]
	c.Unreachable = append(c.Unreachable, other.Unreachable...)
	slices.Sort(c.Unreachable)
	c.Unreachable = c.Unreachable[:min(len(c.Unreachable), maxLagging)]
}

// Survey counts the versions in force in the fleet. It queries the root of
// each region, which queries its descendants in the first tree.
func (d *Distributor) Survey(ctx context.Context) (Convergence, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var names []string
	for _, region := range d.Plan().Regions {
		names = append(names, region.Name)
	}
	if len(names) == 0 {
		return Convergence{}, errors.New("plan contains no regions to survey")
	}
	target := d.HeldVersion()
	result := Convergence{Target: target, Counts: map[sycamorerun.Version]int{}}
	own := slices.Index(names, d.Self)
	if own >= 0 {
		names = slices.Delete(names, own, own+1)
	}
	deadline, _ := ctx.Deadline()
	var group sync.WaitGroup
	var subtree Convergence
	if own >= 0 {
		group.Go(func() { subtree = d.surveySubtree(ctx, target, deadline) })
	}
	d.surveyPeers(ctx, &result, names, target, deadline)
	group.Wait()
	result.merge(subtree)
	return result, nil
}

// surveySubtree surveys this node and its descendants.
func (d *Distributor) surveySubtree(ctx context.Context, target sycamorerun.Version, deadline time.Time) Convergence {
	tree, _ := d.Current()
	result := Convergence{Target: target, Counts: map[sycamorerun.Version]int{tree.Version: 1}}
	if tree.Version < target {
		result.Lagging = []LaggingNode{{d.Self, tree.Version, d.laggingSince(time.Now(), tree.Version)}}
	}
	d.surveyPeers(ctx, &result, children(d.Plan().Links), target, deadline.Add(-surveyMargin))
	return result
}

// laggingSince returns when the node first knew of a version above the given one,
// or now if no peer has reported any.
func (d *Distributor) laggingSince(now time.Time, version sycamorerun.Version) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if since, ok := d.pulls.behindSince(version); ok {
		return since
	}
	return now
}

// surveyPeers queries the named nodes concurrently and merges their reports.
func (d *Distributor) surveyPeers(ctx context.Context, result *Convergence, names []string, target sycamorerun.Version, deadline time.Time) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	for _, name := range names {
		group.Go(func() {
			answer, err := d.surveyPeer(ctx, name, target, deadline)
			if err != nil {
				answer = Convergence{Unreachable: []string{name}}
			}
			mutex.Lock()
			defer mutex.Unlock()
			result.merge(answer)
		})
	}
	group.Wait()
}

func (d *Distributor) surveyPeer(ctx context.Context, name string, target sycamorerun.Version, deadline time.Time) (Convergence, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	left := time.Until(deadline) - surveyMargin
	if left <= 0 {
		return Convergence{}, context.DeadlineExceeded
	}
	stream, err := d.Open(ctx, name, Kind)
	if err != nil {
		return Convergence{}, errors.Wrap(err, "open stream")
	}
	defer closeWith(ctx, stream)()
	request := &Message{Kind: &Message_Survey{Survey: &Survey{
		Target: uint64(target), TimeoutMs: uint32(left.Milliseconds()),
	}}}
	if _, err := encoder.Write(stream, request); err != nil {
		return Convergence{}, err
	}
	report, err := encoder.Read[Report](stream, surveyFrameBytes)
	if err != nil {
		return Convergence{}, err
	}
	return fromReport(report), nil
}

func (d *Distributor) handleSurvey(ctx context.Context, stream net.Conn, survey *Survey) error {
	limit := min(time.Duration(survey.GetTimeoutMs())*time.Millisecond, surveyTimeout)
	deadline := time.Now().Add(limit)
	result := d.surveySubtree(ctx, sycamorerun.Version(survey.GetTarget()), deadline)
	_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := encoder.Write(stream, toReport(result))
	return err
}

func toReport(result Convergence) *Report {
	report := &Report{Unreachable: result.Unreachable}
	for _, version := range slices.Sorted(maps.Keys(result.Counts)) {
		report.Counts = append(report.Counts, &Count{Version: uint64(version), Nodes: uint32(result.Counts[version])})
	}
	for _, lag := range result.Lagging {
		report.Lagging = append(report.Lagging, &Lag{
			Name: lag.Name, Version: uint64(lag.Version), SinceUnixNano: lag.Since.UnixNano(),
		})
	}
	return report
}

func fromReport(report *Report) Convergence {
	result := Convergence{Counts: map[sycamorerun.Version]int{}, Unreachable: report.GetUnreachable()}
	for _, count := range report.GetCounts() {
		result.Counts[sycamorerun.Version(count.GetVersion())] += int(count.GetNodes())
	}
	for _, lag := range report.GetLagging() {
		result.Lagging = append(result.Lagging, LaggingNode{
			Name: lag.GetName(), Version: sycamorerun.Version(lag.GetVersion()),
			Since: time.Unix(0, lag.GetSinceUnixNano()),
		})
	}
	return result
}
