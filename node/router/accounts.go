package router

import (
	"bytes"
	"cmp"

	"sycamorerun"
	"sycamorerun/node/identifier"
)

// Access says whether a request may use a route.
type Access int

// Values of Access.
const (
	// AccessOpen means that the configuration has no client accounts.
	AccessOpen Access = iota
	// AccessPublic means that requests on the route need no key.
	AccessPublic
	// AccessGranted means that the key of the request is known.
	AccessGranted
	// AccessDenied means that the request lacks a known key.
	AccessDenied
)

// Keys returns the number of keys of all client accounts.
func (t *Table) Keys() int { return t.keys.Len() }

// Accounts returns the client accounts by name.
func (t *Table) Accounts() map[string]sycamorerun.Account {
	accounts := map[string]sycamorerun.Account{}
	for path, item := range t.decoded {
		if account, ok := item.value.(sycamorerun.Account); ok {
			_, _, name := path.Split()
			accounts[name] = account
		}
	}
	return accounts
}

// access returns whether a request with key may use route, and its account.
func (t *Table) access(route *route, key *identifier.Hash) (Access, identifier.Account) {
	switch {
	case !t.hasAccounts:
		return AccessOpen, identifier.Account{}
	case route.public:
		return AccessPublic, identifier.Account{}
	case key != nil:
		if account := t.keys.Find(*key); account != nil {
			return AccessGranted, *account
		}
	}
	return AccessDenied, identifier.Account{}
}

// accounts updates the index of keys by the accounts that differ from those of
// the previous table. Keys are removed first, since one may move to another
// account.
func (c *compiler) accounts(paths []sycamorerun.Path, items map[sycamorerun.Path]sycamorerun.Item) {
	for path, old := range c.previous {
		if account, ok := old.value.(sycamorerun.Account); ok && !bytes.Equal(old.item, items[path]) {
			c.removeKeys(account)
		}
	}
	for _, path := range paths {
		_, kind, name := path.Split()
		if kind != sycamorerun.KindAccount {
			continue
		}
		c.table.hasAccounts = true
		old, known := c.previous[path]
		account, err := decode[sycamorerun.Account](c, path, items[path])
		if err != nil {
			c.fault(path, CodeInvalidItem, "account cannot be decoded: %v", err)
			continue
		}
		if !known || !bytes.Equal(old.item, items[path]) {
			c.addKeys(path, name, account)
		}
	}
}

func (c *compiler) removeKeys(account sycamorerun.Account) {
	for _, key := range account.Keys {
		if hash, err := identifier.ParseHash(key); err == nil {
			c.table.keys = c.table.keys.Without(hash)
		}
	}
}

func (c *compiler) addKeys(path sycamorerun.Path, name string, account sycamorerun.Account) {
	added := &identifier.Account{
		Name: name, Label: cmp.Or(account.Label, name), Rank: account.Rank, Metered: account.Rate > 0,
	}
	for i, key := range account.Keys {
		hash, err := identifier.ParseHash(key)
		if err != nil {
			c.fault(path, CodeInvalidKey, "key %d: %v", i+1, err)
			continue
		}
		if other := c.table.keys.Find(hash); other != nil {
			c.fault(path, CodeDuplicateKey, "key %d belongs to account %s already", i+1, other.Name)
			continue
		}
		c.table.keys = c.table.keys.With(hash, added)
	}
}
