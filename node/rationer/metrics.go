package rationer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// metricsInterval is the time between two updates of the metrics.
	metricsInterval = 10 * time.Second
	// maxSeries is the number of accounts with series of their own.
	maxSeries = 32
	// restLabel is the label of the series of all other accounts.
	restLabel = "other"
)

// accountUse is the use of an account since the last update of the metrics.
type accountUse struct {
	account           string
	admitted, refused int64
}

// accountMetrics counts the use of accounts. The largest accounts of an update get
// series of their own until maxSeries is reached, since series are never removed.
type accountMetrics struct {
	scope  tally.Scope
	series map[string]tally.Scope
}

func newAccountMetrics(scope tally.Scope) *accountMetrics {
	return &accountMetrics{scope: scope.SubScope("accounts"), series: map[string]tally.Scope{}}
}

func (m *accountMetrics) update(uses []accountUse) {
	slices.SortFunc(uses, func(a, b accountUse) int {
		return cmp.Or(cmp.Compare(b.admitted+b.refused, a.admitted+a.refused), cmp.Compare(a.account, b.account))
	})
	for _, use := range uses {
		scope := m.of(use.account)
		scope.Counter("admitted").Inc(use.admitted)
		scope.Counter("refused").Inc(use.refused)
	}
}

func (m *accountMetrics) of(account string) tally.Scope {
	if _, ok := m.series[account]; !ok && len(m.series) >= maxSeries {
		account = restLabel
	}
	scope, ok := m.series[account]
	if !ok {
		scope = m.scope.Tagged(map[string]string{"account": account})
		m.series[account] = scope
	}
	return scope
}

func (r *Rationer) runMetrics(ctx context.Context) {
	metrics := newAccountMetrics(r.Scope)
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			metrics.update(r.ledger.takeUse())
		}
	}
}
