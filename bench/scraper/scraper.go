// Package scraper reads the samples of a process's metrics endpoint.
package scraper

import (
	"bufio"
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Sample is one sample of a metric. Labels has the text between the braces.
type Sample struct {
	Name   string
	Labels string
	Value  float64
}

// Scrape returns the samples of the metrics endpoint at address.
func Scrape(ctx context.Context, address netip.AddrPort) ([]Sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "scrape metrics")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "scrape metrics")
	}
	defer response.Body.Close()
	var samples []Sample
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if sample, ok := parse(lines.Text()); ok {
			samples = append(samples, sample)
		}
	}
	return samples, errors.Wrap(lines.Err(), "scrape metrics")
}

// parse parses a line such as `name{label="x"} 12`.
func parse(line string) (Sample, bool) {
	if strings.HasPrefix(line, "#") {
		return Sample{}, false
	}
	space := strings.LastIndexByte(line, ' ')
	if space < 0 {
		return Sample{}, false
	}
	value, err := strconv.ParseFloat(line[space+1:], 64)
	if err != nil {
		return Sample{}, false
	}
	name, labels, _ := strings.Cut(line[:space], "{")
	return Sample{Name: name, Labels: strings.TrimSuffix(labels, "}"), Value: value}, true
}

// Sum returns the sum of the samples with the name whose labels contain all parts.
func Sum(samples []Sample, name string, parts ...string) float64 {
	total := 0.0
	for _, s := range samples {
		if s.Name == name && containsAll(s.Labels, parts) {
			total += s.Value
		}
	}
	return total
}

func containsAll(labels string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(labels, part) {
			return false
		}
	}
	return true
}
