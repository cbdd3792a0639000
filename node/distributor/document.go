package distributor

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/persister"
)

// Document is a configuration that operators write as one object of the store.
type Document struct {
	// Read returns the document and its revision in the store.
	Read func(ctx context.Context) (sycamorerun.Tree, persister.Revision, error)
	// Watch waits for a revision after the given one.
	Watch func(ctx context.Context, after persister.Revision) (tree sycamorerun.Tree, next persister.Revision, changed bool, err error)
}

// followDocument installs each version of the document until an error.
func (d *Distributor) followDocument(ctx context.Context, worked func()) error {
	tree, after, err := d.Document.Read(ctx)
	for ctx.Err() == nil {
		if err != nil {
			return err
		}
		worked()
		if tree.Version > d.Held() {
			if err := d.install(time.Now(), tree, differ.Hash(tree.Items), ""); err != nil {
				level.Warn(d.Logger).Log("msg", "document not applied", "version", tree.Version, "err", err)
			}
		}
		var next persister.Revision
		tree, next, _, err = d.Document.Watch(ctx, after)
		if errors.Is(err, persister.ErrCompacted) {
			tree, next, err = d.Document.Read(ctx)
		}
		after = next
	}
	return ctx.Err()
}
