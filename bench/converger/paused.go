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
	// rejoin is the time after a pause until the watchers have their roles
	// and links again: a paused node counts as failed after at most 9 s, and
	// is listed again after one exchange.
	rejoin = 15 * time.Second
	// primaryWatch is the value of the metric on a region's primary watcher.
	primaryWatch = 2
)

// pausedChanges pauses the primary watcher of each region right before a
// change and resumes it afterwards. Each change goes through a running node of
// the store's region.
func pausedChanges(ctx context.Context, fleet *deployer.Fleet, c Case, result *Result) error {
	for i := range c.Paused {
		if err := pausedChange(ctx, fleet, c, i, result); err != nil {
			return err
		}
		deployer.Pause(ctx, rejoin)
	}
	return nil
}

func pausedChange(ctx context.Context, fleet *deployer.Fleet, c Case, number int, result *Result) error {
	primaries, running, err := primaries(ctx, fleet)
	if err != nil {
		return err
	}
	for _, node := range primaries {
		if err := node.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		defer func() { _ = node.Process.Signal(syscall.SIGCONT) }()
	}
	text := settings(number%teams, c.Services, fmt.Sprintf("/paused-%d", number))
	via := running[(number*5)%len(running)]
	outcome, err := fleet.Apply(ctx, team(number%teams), team(number%teams), text, via)
	if err != nil {
		return err
	}
	if outcome.Status != "accepted" {
		return errors.Errorf("change %d with paused watchers: %s %+v", number, outcome.Status, outcome.Faults)
	}
	if err := fleet.WaitVersion(ctx, *outcome.Version, len(running), limit); err != nil {
		return err
	}
	worst := time.Duration(0)
	for _, delay := range fleet.Observer.Delays(*outcome.Version) {
		worst = max(worst, delay)
	}
	return errors.Wrap(result.Paused.RecordValue(max(1, worst.Microseconds())), "record delay")
}

// primaries returns each region's primary watcher and the other nodes. It
// fails when a region has none or several at the moment.
func primaries(ctx context.Context, fleet *deployer.Fleet) (found, others []*deployer.Node, err error) {
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
			return nil, nil, errors.Errorf("region %s has %d primary watchers", zone.Region, regions[zone.Region])
		}
	}
	return found, others, nil
}
