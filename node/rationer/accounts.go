package rationer

import (
	"bytes"
	"encoding/json"

	"sycamorerun"
)

// decodedAccount is an item with its decoded account.
type decodedAccount struct {
	item    sycamorerun.Item
	name    string
	account sycamorerun.Account
}

// decodedAccounts holds the accounts with a rate, so that a version is decoded in
// proportion to its changes.
type decodedAccounts map[sycamorerun.Path]decodedAccount

// update decodes the accounts of a version. It reports whether any of them differs
// from those before. Items that can't be decoded have no limit; they were rejected
// before they came into force.
func (d decodedAccounts) update(items map[sycamorerun.Path]sycamorerun.Item) bool {
	changed := false
	for path := range d {
		if _, ok := items[path]; !ok {
			delete(d, path)
			changed = true
		}
	}
	for path, item := range items {
		_, kind, name := path.Split()
		if kind != sycamorerun.KindAccount {
			continue
		}
		if known, ok := d[path]; ok && bytes.Equal(known.item, item) {
			continue
		}
		var account sycamorerun.Account
		_ = json.Unmarshal(item, &account)
		previous := d[path].account
		d[path] = decodedAccount{item: item, name: name, account: account}
		changed = changed || previous.Rate != account.Rate || previous.Burst != account.Burst
	}
	return changed
}

// limited returns the accounts with a rate by name.
func (d decodedAccounts) limited() map[string]sycamorerun.Account {
	accounts := map[string]sycamorerun.Account{}
	for _, decoded := range d {
		if decoded.account.Rate > 0 {
			accounts[decoded.name] = decoded.account
		}
	}
	return accounts
}
