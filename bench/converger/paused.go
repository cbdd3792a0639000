package converger

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sycamorerun/bench/deployer"
	"sycamorerun/bench/scraper"
)

const (
	// recoveryWait is the time after a pause for the watchers to recover their
	// roles and links: a paused node is considered failed after at most 9 s, and
	// is listed again after one exchange.
	recoveryWait = 15 * time.Second
	// primaryWatch is the value of the metric sycamorerun_distributor_watch at a
	// region's primary watcher.
	primaryWatch = 2
)

// applyPausedChanges applies changes while the primary watcher of each region is
// paused, and resumes the watchers after each change. Changes are submitted to
// running nodes.
func applyPausedChanges(ctx context.Context, fleet *deployer.Fleet, c Case, result *Result) error {
	for i := range c.Paused {
		if err := applyPausedChange(ctx, fleet, c, i, result); err != nil {
			return err
		}
		deployer.Pause(ctx, recoveryWait)
	}
	return nil
}

func applyPausedChange(ctx context.Context, fleet *deployer.Fleet, c Case, number int, result *Result) error {
	primaries, running, err := findPrimaryWatchers(ctx, fleet)
	if err != nil {
		return err
	}
	for _, node := range primaries {
		if err := node.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		defer func() { _ = node.Process.Signal(syscall.SIGCONT) }()
	}
	text := teamSettings(number%teamCount, c.Services, fmt.Sprintf("/paused-%d", number))
	node := running[(number*5)%len(running)]
	outcome, err := fleet.Apply(ctx, teamName(number%teamCount), teamName(number%teamCount), text, node)
	if err != nil {
		return err
	}
	if outcome.Status != "accepted" {
		return errors.Errorf("change %d with paused watchers not accepted: status %s, faults %+v", number, outcome.Status, outcome.Faults)
	}
	if err := fleet.WaitVersion(ctx, *outcome.Version, len(running), convergenceTimeout); err != nil {
		return err
	}
	worst := time.Duration(0)
	for _, delay := range fleet.Observer.Delays(*outcome.Version) {
		worst = max(worst, delay)
	}
	return errors.Wrap(result.Paused.RecordValue(max(1, worst.Microseconds())), "record a convergence delay")
}

// findPrimaryWatchers returns the primary watcher of each region, and the other
// nodes. It fails if a region currently has none or several.
func findPrimaryWatchers(ctx context.Context, fleet *deployer.Fleet) (found, others []*deployer.Node, err error) {
	regions := map[string]int{}
	for _, node := range fleet.Nodes {
		samples, err := scraper.Scrape(ctx, node.Operators)
		if err != nil {
			return nil, nil, err
		}
		if scraper.Sum(samples, "sycamorerun_distributor_watch") == primaryWatch {
			regions[node.Zone.Region]++
			found = append(found, node)
		} else {
			others = append(others, node)
		}
	}
	for _, zone := range fleet.Spec.Zones {
		if regions[zone.Region] != 1 {
			return nil, nil, errors.Errorf("region %s has %d primary watchers instead of one", zone.Region, regions[zone.Region])
		}
	}
	return found, others, nil
}
