package distributor

import "time"

// SetStandbyDelay changes StandbyDelay of a running distributor.
func (d *Distributor) SetStandbyDelay(delay time.Duration) { d.changedDelay.Store(&delay) }

func (d *Distributor) standbyDelay() time.Duration {
	if changed := d.changedDelay.Load(); changed != nil {
		return *changed
	}
	return d.StandbyDelay
}
